/** Requests without a complete response, and how a planned stop ends them. */
import type { CallerConnection } from '@marigoldbank/daemon/entry/CallerConnection';
import type { Transaction } from './ResponseWriter.js';

export type WaitResult<T> =
  | { readonly kind: 'done'; readonly value: T }
  /** The process ends before the wait could. */
  | { readonly kind: 'stopped' };

interface Stoppable {
  /** Ends the run early with the outcome that is known. */
  giveUp(): void;
}

export class ActiveRequests {
  private readonly transactions = new Set<Transaction>();

  private readonly waits = new Map<Transaction, () => void>();

  private readonly runs = new Map<Transaction, Stoppable>();

  private hasEndedWaits = false;

  /** Number of requests whose response is not written completely. */
  public get count(): number {
    return this.transactions.size;
  }

  public add(tx: Transaction): void {
    this.transactions.add(tx);
    tx.res.once('close', () => this.transactions.delete(tx));
  }

  /** Removes the requests of a closed connection. The response of a pipelined one never closes if it was not its turn. */
  public removeConnection(connection: CallerConnection): void {
    [...this.transactions]
      .filter((tx) => tx.connection === connection)
      .forEach((tx) => this.transactions.delete(tx));
  }

  /** Waits for something that precedes the run of a request, until `endWaits`. */
  public wait<T>(tx: Transaction, work: Promise<T>): Promise<WaitResult<T>> {
    if (this.hasEndedWaits) return Promise.resolve({ kind: 'stopped' });
    return new Promise((resolve, reject) => {
      const end = (): void => resolve({ kind: 'stopped' });
      this.waits.set(tx, end);
      work
        .then((value) => resolve({ kind: 'done', value }), reject)
        .finally(() => {
          // The next wait of the request may have begun.
          if (this.waits.get(tx) === end) this.waits.delete(tx);
        });
    });
  }

  /** Registers a run until it has an outcome. */
  public async track<T>(tx: Transaction, run: Stoppable, outcome: Promise<T>): Promise<T> {
    this.runs.set(tx, run);
    try {
      return await outcome;
    } finally {
      this.runs.delete(tx);
    }
  }

  /** Ends all waits, and each later one at once. */
  public endWaits(): void {
    this.hasEndedWaits = true;
    this.waits.forEach((end) => end());
  }

  /** Ends all runs. */
  public giveUp(): void {
    this.runs.forEach((run) => run.giveUp());
  }
}
