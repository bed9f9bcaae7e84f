/** Logger that writes through roarr. */
import './enableRoarr.js';
import { ROARR, Roarr, type MessageContext } from 'roarr';
import { Logger, type LogContext, type LogLevel } from './Logger.js';

// Nothing is written until `setLogWriter` is called.
ROARR.write = () => undefined;

const SEVERITY: Record<LogLevel, number> = { debug: 20, info: 30, warn: 40, error: 50 };

function withoutUndefined(context: LogContext): MessageContext {
  return Object.fromEntries(Object.entries(context).filter(([, value]) => value !== undefined));
}

/** Writes one JSON line per message, to the writer set by `setLogWriter`. */
export class RoarrLogger extends Logger {
  public constructor(
    private readonly level: LogLevel,
    private readonly context: LogContext = {},
  ) {
    super();
  }

  public override isEnabled(level: LogLevel): boolean {
    return SEVERITY[level] >= SEVERITY[this.level];
  }

  public override log(level: LogLevel, message: string, context: LogContext = {}): void {
    if (!this.isEnabled(level)) return;
    // Passed as an argument instead of as the format, so that percent signs in the message are not interpreted.
    Roarr[level](withoutUndefined({ ...this.context, ...context }), '%s', message);
  }

  public override child(context: LogContext): Logger {
    return new RoarrLogger(this.level, { ...this.context, ...context });
  }
}

/** Sets the writer for all log lines of the process. Without one, lines are discarded. */
export function setLogWriter(write: (line: string) => void): void {
  ROARR.write = write;
}
