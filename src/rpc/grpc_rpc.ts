/**
 * RPC over gRPC, with MessagePack as the codec.
 * @module
 */
import {
  Client,
  credentials,
  Server,
  ServerCredentials,
  status,
} from "@grpc/grpc-js";
import type {
  sendUnaryData,
  ServerUnaryCall,
  ServiceDefinition,
  UntypedServiceImplementation,
} from "@grpc/grpc-js";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import { errorMessage, StepError } from "../core/errors.ts";
import { isConnectable } from "../network/channel.ts";
import type { Call, Handler, Method, Rpc } from "./rpc.ts";

const SERVICE_PATH = "/mustardcross.Control/";
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
const RECONNECT_DELAY_MS = 250;
const MAX_RECONNECT_DELAY_MS = 1_000;
const GRPC_OPTIONS = {
  "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  "grpc.initial_reconnect_backoff_ms": RECONNECT_DELAY_MS,
  "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_DELAY_MS,
};

const packr = new Packr({ useRecords: false });

function encode(value: unknown): Buffer {
  return packr.pack(value);
}

function decode(bytes: Buffer): unknown {
  return packr.unpack(bytes);
}

/** Creates the gRPC client and server of a process. */
export function createGrpcRpc(): Rpc {
  const clients = new Map<string, Client>();
  const handlers = new Map<string, (request: unknown) => Promise<unknown>>();
  let server: Server | undefined;

  function clientFor(peer: string): Client {
    const existing = clients.get(peer);
    if (existing) {
      return existing;
    }
    const client = new Client(peer, credentials.createInsecure(), GRPC_OPTIONS);
    clients.set(peer, client);
    return client;
  }

  /**
   * Closes the client of a peer that did not answer. Its connection may be
   * dead, or in reconnect backoff although the peer is available again.
   */
  function discardUnresponsive(peer: string, code: status | undefined): void {
    const client = clients.get(peer);
    const unresponsive = code === status.DEADLINE_EXCEEDED ||
      code === status.UNAVAILABLE;
    if (client && unresponsive) {
      clients.delete(peer);
      client.close();
    }
  }

  function call<Q, R>(call: Call<Q, R>): Promise<Result<R, StepError>> {
    const { peer, method, request, timeoutMs } = call;
    if (!isConnectable(peer)) {
      const error = new StepError(
        `rpc.${method.name}`,
        "not a host and a port",
        { peer },
      );
      return Promise.resolve(err(error));
    }
    return new Promise((resolve) => {
      clientFor(peer).makeUnaryRequest(
        SERVICE_PATH + method.name,
        encode,
        decode,
        request,
        { deadline: Date.now() + timeoutMs },
        (error, value) => {
          if (error) {
            discardUnresponsive(peer, error.code);
            resolve(
              err(
                new StepError(`rpc.${method.name}`, error.message, {
                  peer,
                  cause: error,
                }),
              ),
            );
            return;
          }
          const parsed = method.reply.safeParse(value);
          if (parsed.success) {
            resolve(ok(parsed.data));
          } else {
            const message = `malformed reply: ${parsed.error.message}`;
            resolve(
              err(new StepError(`rpc.${method.name}`, message, { peer })),
            );
          }
        },
      );
    });
  }

  function handle<Q, R>(method: Method<Q, R>, handler: Handler<Q, R>): void {
    handlers.set(
      method.name,
      async (request) => await handler(method.request.parse(request)),
    );
  }

  function buildServer(): Server {
    const newServer = new Server(GRPC_OPTIONS);
    const definition: Record<string, unknown> = {};
    const implementation: UntypedServiceImplementation = {};
    for (const [name, handler] of handlers) {
      definition[name] = {
        path: SERVICE_PATH + name,
        requestStream: false,
        responseStream: false,
        requestSerialize: encode,
        requestDeserialize: decode,
        responseSerialize: encode,
        responseDeserialize: decode,
      };
      implementation[name] = (
        call: ServerUnaryCall<unknown, unknown>,
        callback: sendUnaryData<unknown>,
      ) => {
        handler(call.request).then(
          (value) => callback(null, value),
          (error) =>
            callback({ code: status.INTERNAL, message: errorMessage(error) }),
        );
      };
    }
    newServer.addService(definition as ServiceDefinition, implementation);
    return newServer;
  }

  function listen(address: string): Promise<string> {
    const newServer = buildServer();
    server = newServer;
    return new Promise((resolve, reject) => {
      newServer.bindAsync(
        address,
        ServerCredentials.createInsecure(),
        (error, port) => {
          if (error) {
            reject(
              new StepError("rpc.listen", error.message, { peer: address }),
            );
            return;
          }
          resolve(`${address.slice(0, address.lastIndexOf(":"))}:${port}`);
        },
      );
    });
  }

  async function close(): Promise<void> {
    for (const client of clients.values()) {
      client.close();
    }
    clients.clear();
    const stoppingServer = server;
    if (stoppingServer) {
      await new Promise<void>((resolve) => {
        const timeout = setTimeout(() => {
          stoppingServer.forceShutdown();
          resolve();
        }, MAX_RECONNECT_DELAY_MS);
        stoppingServer.tryShutdown(() => {
          clearTimeout(timeout);
          resolve();
        });
      });
    }
  }

  return { call, handle, listen, close };
}
