/** Logger that keeps its lines in memory, for tests. */
import { Logger, type LogContext, type LogLevel } from '../telemetry/Logger.js';

/** Keeps every line of every level. */
export class RecordingLogger extends Logger {
  public readonly lines: { level: LogLevel; message: string; context: LogContext }[] = [];

  public override isEnabled(): boolean {
    return true;
  }

  public override log(level: LogLevel, message: string, context: LogContext = {}): void {
    this.lines.push({ level, message, context });
  }

  public override child(): Logger {
    return this;
  }

  /** Returns all lines as JSON text. */
  public text(): string {
    return JSON.stringify(this.lines);
  }
}
