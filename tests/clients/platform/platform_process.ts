/**
 * Starts a process on the platform with a role, a settings file, the address of the
 * control replica and limits on clients as JSON. The address is given since on one
 * host, it is not the node's own port, which the settings file would make of
 * `seeds` and `cluster_ports`.
 */
import { createPlatform } from "../../../platform/platform.ts";
import { loadPlatformSettings } from "../../../platform/settings.ts";
import { createStandardOutputSink } from "../../../src/core/log_sink.ts";
import { createLogger } from "../../../src/core/logger.ts";
import { clientLimitsSchema } from "../../../src/http/client_limits.ts";
import { startProcess } from "../../../src/process.ts";

const [role, file, control, limits] = process.argv.slice(2);
const settings = loadPlatformSettings(file)._unsafeUnwrap();
const own = settings[role as "node" | "control"];
await startProcess({
  ...own,
  control_addresses: [control],
  clients: clientLimitsSchema.parse({ ...own.clients, ...JSON.parse(limits) }),
  control: own.control && {
    ...own.control,
    founders: { [control]: control },
  },
}, {
  logger: createLogger({ write: createStandardOutputSink().write }),
  platform: createPlatform(() => settings),
});
