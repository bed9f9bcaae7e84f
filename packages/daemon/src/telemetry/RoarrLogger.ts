/** Logger on roarr. */
import './enableRoarr.js';
import { ROARR, Roarr, type MessageContext } from 'roarr';
import { Logger, type LogContext, type LogLevel } from './Logger.js';

// Nothing is written until `setLogWriter` is called.
ROARR.write = () => undefined;

const SEVERITY: Record<LogLevel, number> = { debug: 20, info: 30, warn: 40, error: 50 };

function withoutUndefined(context: LogContext): MessageContext {
  return Object.fromEntries(Object.entries(context).filter(([, value]) => value !== undefined));
}

/** Logger on roarr: one JSON line per message. Lines go to the writer set by `setLogWriter`. */
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
    // The message is an argument and not a format, so that a percent sign in it stays as it is.
    Roarr[level](withoutUndefined({ ...this.context, ...context }), '%s', message);
  }

  public override child(context: LogContext): Logger {
    return new RoarrLogger(this.level, { ...this.context, ...context });
  }
}

/** Sets where all log lines of the process go, by default nowhere. */
export function setLogWriter(write: (line: string) => void): void {
  ROARR.write = write;
}
