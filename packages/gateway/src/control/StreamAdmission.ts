/**
 * Decides when this hub opens the streams of entries. A stream costs a hub more than anything else that an entry asks for,
 * so only a few are set up at a time: what plans, tokens and confirmations wait behind them does not grow with the number
 * of entries that connect. The next one is opened when an entry has answered its snapshot, which is the later the busier
 * the hub is.
 */
import type { Clock } from '@marigoldbank/base/clock';
import type { EntryReport } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { maxEntriesOf } from '../sync/hub-share.js';
import type { HubCandidate } from '../sync/HubCandidate.js';
import type { EntryIdentity } from './EntryRegistry.js';
import type { EntrySession } from './EntrySession.js';
import { EntryStream } from './EntryStream.js';

/** Streams whose entries have not answered their snapshot yet. Two more than one use the time of the round trip. */
const MAX_SETUPS = 3;

/** An entry that another hub serves is refused while this many wait. It goes on following that hub meanwhile. */
const MAX_WAITING_TO_MOVE = 3;

/**
 * A stream is refused for the sake of balance only after it has waited for this long. Before, the numbers of entries that
 * this hub has heard of the others are too old: streams that start together would be sent from hub to hub.
 */
const MIN_WAIT_MS = 1_500;

/**
 * Streams are refused only at a hub with this multiple of the entries that it should have. Entries are sent to hubs with room,
 * and one that is refused waits anew elsewhere.
 */
const CROWDED = 1.5;

/** An entry that does not answer for this long, such as one that was stopped, does not keep others waiting. */
const SETUP_TIMEOUT_MS = 1_000;

export interface AdmissionContext {
  readonly clock: Clock;
  /** Whether the state of this hub was not confirmed recently. */
  readonly isLate: () => boolean;
  /** The hubs that are known here, this one first. */
  readonly hubs: () => readonly HubCandidate[];
  readonly openSession: (identity: EntryIdentity, hello: EntryReport) => EntrySession;
}

export class StreamAdmission {
  private waiting: EntryStream[] = [];

  /** Streams that are being set up, by their sessions, with the time (monotonic ms) of their start. */
  private readonly setups = new Map<EntrySession, number>();

  private isStopped = false;

  public constructor(private readonly ctx: AdmissionContext) {}

  /** Number of streams that are not open yet. */
  public get waitingCount(): number {
    return this.waiting.length;
  }

  /**
   * Returns the stream of an entry, or undefined if it is refused. Entries that no hub serves come first. Others gain
   * nothing at a hub that is late or for which many wait.
   */
  public request(identity: EntryIdentity, hello: EntryReport): EntryStream | undefined {
    const isBusy = this.waiting.length >= MAX_WAITING_TO_MOVE;
    if (this.isStopped) return undefined;
    if (hello.hasOtherHub && (isBusy || this.ctx.isLate())) return undefined;
    this.waiting.filter((other) => other.identity.vm === identity.vm).forEach((s) => this.drop(s));
    const stream = new EntryStream(identity, hello, this.ctx.clock.now());
    this.waiting.push(stream);
    this.waiting.sort((a, b) => Number(a.hello.hasOtherHub) - Number(b.hello.hasOtherHub));
    this.openNext();
    if (stream.session === undefined) stream.sendNotice([...this.ctx.hubs()]);
    return stream;
  }

  /** Notes that the entry of a session has answered the snapshot. */
  public noteAnswer(session: EntrySession): void {
    if (this.setups.delete(session)) this.openNext();
  }

  /** Removes a stream that has ended. */
  public remove(stream: EntryStream): void {
    this.drop(stream);
    if (stream.session !== undefined) this.noteAnswer(stream.session);
  }

  /** Refuses streams that other hubs have room for, and gives up waiting for entries that do not answer. */
  public tick(now: number): void {
    this.refuseExcess(now);
    [...this.setups]
      .filter(([, since]) => now - since > SETUP_TIMEOUT_MS)
      .forEach(([session]) => this.noteAnswer(session));
  }

  /** Tells all waiting entries that they still wait, and which hubs there are. */
  public sendNotices(): void {
    if (this.waiting.length === 0) return;
    const hubs = [...this.ctx.hubs()];
    this.waiting.forEach((stream) => stream.sendNotice(hubs));
  }

  /** Refuses all streams, of those that wait and of entries that still come. */
  public stop(): void {
    this.isStopped = true;
    this.waiting.splice(0).forEach((stream) => stream.refuse());
  }

  private drop(stream: EntryStream): void {
    this.waiting = this.waiting.filter((other) => other !== stream);
    stream.end();
  }

  private openNext(): void {
    while (this.setups.size < MAX_SETUPS && this.waiting.length > 0) {
      const stream = this.waiting.shift()!;
      const session = this.ctx.openSession(stream.identity, stream.hello);
      this.setups.set(session, this.ctx.clock.now());
      stream.open(session);
    }
  }

  private refuseExcess(now: number): void {
    const refusable = this.waiting.filter(({ openedAt }) => now - openedAt >= MIN_WAIT_MS);
    if (refusable.length === 0) return;
    const [own, ...others] = this.ctx.hubs();
    const usable = others.filter(({ isSilent, isLate }) => !isSilent && !isLate);
    if (own === undefined || usable.length === 0) return;
    const limit = maxEntriesOf([own, ...usable]);
    const room = usable.reduce((sum, { entries }) => sum + Math.max(0, limit - entries), 0);
    if (own.entries <= CROWDED * limit) return;
    const excess = Math.min(own.entries - limit, room, refusable.length);
    if (excess <= 0) return;
    const hubs = [own, ...others];
    const refused = refusable.slice(-excess);
    this.waiting = this.waiting.filter((stream) => !refused.includes(stream));
    refused.forEach((stream) => {
      stream.sendNotice(hubs);
      stream.refuse();
    });
  }
}
