/** Logger for tests. */
import { Logger } from './Logger.js';

/** Drops every line. */
export class NullLogger extends Logger {
  public override isEnabled(): boolean {
    return false;
  }

  public override log(): void {
    // Nothing is written.
  }

  public override child(): Logger {
    return this;
  }
}
