/** Logger that discards all lines, for tests. */
import { Logger } from './Logger.js';

export class NullLogger extends Logger {
  public override isEnabled(): boolean {
    return false;
  }

  public override log(): void {
    // Discards the line.
  }

  public override child(): Logger {
    return this;
  }
}
