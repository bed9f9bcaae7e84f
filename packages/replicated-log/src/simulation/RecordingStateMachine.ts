/** State machine of simulated members. */
import { StateMachine } from '../StateMachine.js';
import type { History } from './History.js';

/** Records the applied commands. */
export class RecordingStateMachine extends StateMachine {
  public commands: string[] = [];

  public constructor(private readonly history: History) {
    super();
  }

  public override apply(index: number, data: Uint8Array): Uint8Array {
    this.history.recordApplied(index, data);
    this.commands.push(Buffer.from(data).toString());
    return data;
  }

  public override snapshot(): Uint8Array {
    return Buffer.from(JSON.stringify(this.commands));
  }

  public override restore(snapshot: Uint8Array): void {
    this.commands = JSON.parse(Buffer.from(snapshot).toString()) as string[];
  }
}
