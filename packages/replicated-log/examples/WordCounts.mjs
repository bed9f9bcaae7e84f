/** State machine of the examples. */
import { StateMachine } from '@marigoldbank/replicated-log';

/** A counter for each word. */
export class WordCounts extends StateMachine {
  counts = new Map();

  apply(_index, data) {
    const word = Buffer.from(data).toString();
    const count = (this.counts.get(word) ?? 0) + 1;
    this.counts.set(word, count);
    return Buffer.from(`${count}`);
  }

  snapshot() {
    return Buffer.from(JSON.stringify([...this.counts]));
  }

  restore(snapshot) {
    this.counts = new Map(JSON.parse(Buffer.from(snapshot).toString()));
  }
}
