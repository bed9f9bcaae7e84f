/** Interface for structured logging. */

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export type LogContext = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log lines, each with a message and context fields. */
export abstract class Logger {
  public abstract isEnabled(level: LogLevel): boolean;

  public abstract log(level: LogLevel, message: string, context?: LogContext): void;

  /** Creates a logger that adds context fields to every line. */
  public abstract child(context: LogContext): Logger;

  public debug(message: string, context?: LogContext): void {
    this.log('debug', message, context);
  }

  public info(message: string, context?: LogContext): void {
    this.log('info', message, context);
  }

  public warn(message: string, context?: LogContext): void {
    this.log('warn', message, context);
  }

  public error(message: string, context?: LogContext): void {
    this.log('error', message, context);
  }
}
