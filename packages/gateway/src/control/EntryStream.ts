/** Stream of an entry to this hub. It waits until the hub has time for it, and then carries the updates of a session. */
import type { EntryReport } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { MessageQueue } from '../sync/MessageQueue.js';
import type { EntryIdentity } from './EntryRegistry.js';
import type { EntrySession, HubUpdateInit } from './EntrySession.js';
import { StreamRefusedError } from './StreamRefusedError.js';

export class EntryStream {
  private readonly notices = new MessageQueue<HubUpdateInit>();

  private openSession: EntrySession | undefined;

  private isRefused = false;

  public constructor(
    public readonly identity: EntryIdentity,
    /** The first report of the entry. */
    public readonly hello: EntryReport,
    /** Monotonic ms. */
    public readonly openedAt: number,
  ) {}

  /** The session, undefined while the stream waits. */
  public get session(): EntrySession | undefined {
    return this.openSession;
  }

  /** Tells the entry that the stream waits, and which hubs there are. */
  public sendNotice(hubs: HubUpdateInit['hubs']): void {
    if (this.hello.canWait) this.notices.push({ isWaiting: true, hubs });
  }

  public open(session: EntrySession): void {
    this.openSession = session;
    this.notices.end();
  }

  public refuse(): void {
    this.isRefused = true;
    this.notices.end();
  }

  /** Ends the stream without an error. */
  public end(): void {
    this.notices.end();
    this.openSession?.dispose();
  }

  /** All messages to the entry. Throws `StreamRefusedError` if the stream is refused. */
  public async *updates(): AsyncGenerator<HubUpdateInit, void> {
    yield* this.notices;
    if (this.isRefused) throw new StreamRefusedError('the hub has no time for the entry');
    if (this.openSession !== undefined) yield* this.openSession.queue;
  }
}
