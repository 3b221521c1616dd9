/**
 * Errors in what a client sends: malformed requests, and requests that do not
 * end in time. The responses to earlier requests of the connection come first,
 * complete and in order; then the error, and the close.
 * @module
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { connectionOfSocket, type Exchange } from "./connections.ts";

/** Time in which a client may read an error response before the close. */
const CLOSE_DELAY_MS = 500;
const PARSER_ERROR_PREFIX = "HPE_";
const TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";
/** The client closed its side in the middle of a request. */
const END_CODE = "HPE_INVALID_EOF_STATE";

const STATUS_LINES: Record<string, string> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
  [TIMEOUT_CODE]: "408 Request Timeout",
};
const OTHER_STATUS_LINE = "400 Bad Request";

/** Whether an error tells what a client sent, and not that its socket failed. */
function isInputError(code: string): boolean {
  return code.startsWith(PARSER_ERROR_PREFIX) || code === TIMEOUT_CODE;
}

/** Sends an error response and closes the connection. */
function closeWithError(socket: Socket, code: string): void {
  if (!socket.writable) {
    // The last response asked the client to close the connection.
    return;
  }
  const statusLine = STATUS_LINES[code] ?? OTHER_STATUS_LINE;
  socket.end(
    `HTTP/1.1 ${statusLine}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
  );
  const timer = setTimeout(() => socket.destroy(), CLOSE_DELAY_MS);
  socket.once("close", () => clearTimeout(timer));
}

/**
 * Closes the connection of a request whose body is malformed or late. A request
 * whose body did not come in time may run already, and 408 would deny it.
 */
function closeInBody(
  socket: Socket,
  { response, code }: { response: Exchange["response"]; code: string },
): void {
  if (response.headersSent || code === TIMEOUT_CODE) {
    socket.destroy();
  } else {
    closeWithError(socket, code);
  }
}

/**
 * Handles the errors of a server's clients. `onMalformed` is called once for a
 * connection whose input fails, with the code of the error.
 */
export function handleInputErrors(
  server: Server,
  onMalformed: (code: string, socket: Socket) => void,
): void {
  /** Sockets whose input has failed; the parser fails again with all that follows. */
  const failed = new WeakSet<Socket>();
  server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
    const connection = connectionOfSocket(socket);
    const code = error.code ?? "";
    const ended = code === END_CODE && connection?.idle === false;
    if (!connection || !isInputError(code) || ended || !socket.writable) {
      socket.destroy(error);
      return;
    }
    if (failed.has(socket)) {
      return;
    }
    failed.add(socket);
    onMalformed(code, socket);
    connection.refuseRequests();
    connection.discardInput();
    const { latest } = connection;
    if (latest && !latest.request.complete) {
      const { response } = latest;
      connection.afterResponses(
        () => closeInBody(socket, { response, code }),
        response,
      );
    } else {
      connection.afterResponses(() => closeWithError(socket, code));
    }
  });
}
