/** What this entry tells its hub: outcomes, load, use of budgets, questions for tokens. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { EntryReportSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { TargetOutcome } from '@marigoldbank/routing/TargetBelief';
import { Batcher } from '../sync/Batcher.js';
import { EvidenceBuffer } from '../sync/EvidenceBuffer.js';
import type { EntryBoard } from './EntryState.js';

export type EntryReportInit = MessageInitShape<typeof EntryReportSchema>;

/** Failures and questions leave in the same turn of the event loop; the rest travels together. */
const URGENT_FLUSH_MS = 0;
const FLUSH_MS = 60;

/** A question for a token that is not answered in this time, or in the time that the request can wait, is decided here. */
const MIN_TOKEN_TIMEOUT_MS = 250;

export type TokenResult =
  | { readonly kind: 'granted' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number }
  /** The holder of the budgets did not answer. */
  | { readonly kind: 'unanswered' };

interface Use {
  requests: number;
  repeats: number;
}

export class Reporter implements IDisposable {
  private readonly evidence = new EvidenceBuffer();

  private readonly uses = new Map<string, Use>();

  private readonly teamUse = new Map<string, number>();

  private readonly questions: { id: number; team: string }[] = [];

  private readonly waiting = new Map<number, (result: TokenResult) => void>();

  private lastId = 0;

  private ready = false;

  private send: ((report: EntryReportInit) => void) | undefined;

  private readonly batcher: Batcher;

  public constructor(
    private readonly clock: Clock,
    private readonly board: EntryBoard,
  ) {
    this.batcher = new Batcher(clock, () => this.flush());
  }

  /** Whether callers may be sent to this entry. */
  public get isReady(): boolean {
    return this.ready;
  }

  /** Sends reports to a new stream. It begins with the load at all targets. */
  public attach(send: (report: EntryReportInit) => void): void {
    this.send = send;
    this.board.targets
      .all()
      .filter(({ ownInFlight }) => ownInFlight > 0)
      .forEach(({ info }) => this.evidence.add(info.id, 0, 0, 0));
    this.flush();
  }

  public detach(): void {
    this.send = undefined;
  }

  public setReady(isReady: boolean): void {
    if (this.ready === isReady) return;
    this.ready = isReady;
    this.batcher.request(URGENT_FLUSH_MS);
  }

  /** The number of requests in flight at a target has changed. */
  public loadChanged(id: string): void {
    this.evidence.add(id, 0, 0, 0);
    this.batcher.request(FLUSH_MS);
  }

  public outcome(id: string, outcome: TargetOutcome): void {
    this.board.targets.observe(id, outcome, this.clock.now());
    this.evidence.add(
      id,
      outcome === 'succeeded' ? 1 : 0,
      outcome === 'failed' ? 1 : 0,
      outcome === 'suspect' ? 1 : 0,
    );
    this.batcher.request(outcome === 'succeeded' ? FLUSH_MS : URGENT_FLUSH_MS);
  }

  /** A connection to a target failed. Others may reach it, so that they learn of it as a weak sign only. */
  public unreachable(id: string): void {
    this.board.targets.recordConnectFailure(id, this.clock.now());
    this.outcome(id, 'suspect');
  }

  /** A target was silent until the answer was due: perhaps only its answers to this entry are lost. */
  public stalled(id: string): void {
    this.board.targets.recordConnectFailure(id, this.clock.now());
    this.outcome(id, 'suspect');
  }

  /** A target has answered on a connection. */
  public reached(id: string): void {
    this.board.targets.recordConnected(id);
  }

  /** Counts a request for a service. */
  public countRequest(service: string): void {
    this.count(service, 1, 0);
  }

  /** Counts a request that is sent to one more target. */
  public countRepeat(service: string): void {
    this.count(service, 0, 1);
  }

  /** Reports a request that was admitted without a token. */
  public teamUsed(team: string): void {
    this.teamUse.set(team, (this.teamUse.get(team) ?? 0) + 1);
    this.batcher.request(FLUSH_MS);
  }

  /** Asks the holder of the budgets for one token. */
  public askToken(team: string, patienceMs: number): Promise<TokenResult> {
    if (this.send === undefined) return Promise.resolve({ kind: 'unanswered' });
    this.lastId += 1;
    const id = this.lastId;
    this.questions.push({ id, team });
    this.batcher.request(URGENT_FLUSH_MS);
    return new Promise((resolve) => {
      const timer = this.clock.setTimeout(
        () => this.settleToken(id, { kind: 'unanswered' }),
        Math.max(MIN_TOKEN_TIMEOUT_MS, patienceMs),
      );
      this.waiting.set(id, (result) => {
        timer.dispose();
        resolve(result);
      });
    });
  }

  public settleToken(id: number, result: TokenResult): void {
    const settle = this.waiting.get(id);
    this.waiting.delete(id);
    settle?.(result);
  }

  /** Sends what waits, and a sign of life. */
  public flush(): void {
    if (this.send === undefined) return;
    const inFlightOf = (id: string): number => this.board.targets.get(id)?.ownInFlight ?? 0;
    this.send({
      isReady: this.ready,
      evidence: this.evidence.take(inFlightOf),
      uses: [...this.uses].map(([service, use]) => ({ service, ...use })),
      teams: [...this.teamUse].map(([team, admitted]) => ({ team, admitted })),
      tokens: this.questions.splice(0),
    });
    this.uses.clear();
    this.teamUse.clear();
  }

  public dispose(): void {
    this.batcher.dispose();
    this.detach();
  }

  private count(service: string, requests: number, repeats: number): void {
    const use = this.uses.get(service) ?? { requests: 0, repeats: 0 };
    use.requests += requests;
    use.repeats += repeats;
    this.uses.set(service, use);
    this.board.retries.count(service, requests, repeats, this.clock.now());
    this.batcher.request(FLUSH_MS);
  }
}
