/** Asks control, following the leader. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Code, ConnectError, createClient, type Client } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { changeResultSchema, type Change, type ChangeResult } from '@marigoldbank/fleet/changes';
import {
  OperatorService,
  type ChangeProgress,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/operator_pb';
import type { CliSettings } from './cli-settings.js';
import { CommandError } from './CommandError.js';

const ATTEMPT_TIMEOUT_MS = 3_000;
/** Pause after all addresses were tried without success, while an election may be going on. */
const ROUND_PAUSE_MS = 200;
const PROGRESS_INTERVAL_MS = 200;
/** A backup holds the whole state: lists, results and the audit trail. */
const MAX_MESSAGE_BYTES = 1_073_741_824;

export type OperatorStub = Client<typeof OperatorService>;

type Result = { readonly case: string; readonly value: unknown } | { readonly case: undefined };

/** Result of a leader that knows the outcome. */
type Answered<R extends Result> = Exclude<
  R,
  { readonly case: 'notLeader' | 'unknown' | undefined }
>;

interface Attempt<R extends Result> {
  readonly answer?: Answered<R>;
  /** Address of the leader that the answer names. */
  readonly leaderAddress?: string;
  /** Why the attempt gave no answer. */
  readonly problem: string;
  /** Whether the request may have had an effect. */
  readonly mayHaveArrived: boolean;
}

function isRefusedConnection(err: unknown): boolean {
  const cause = err instanceof ConnectError ? err.cause : err;
  return (cause as { code?: string } | undefined)?.code === 'ECONNREFUSED';
}

/** Failures that another address would answer alike. */
function throwIfFinal(err: unknown, address: string): void {
  if (!(err instanceof ConnectError)) return;
  if (err.code === Code.Unauthenticated) {
    const message = `${address} refused the operator secret`;
    throw new CommandError({ kind: 'unauthenticated', message });
  }
  if (err.code === Code.InvalidArgument) {
    throw new CommandError({ kind: 'rejected', message: err.rawMessage });
  }
  if (err.code === Code.Unimplemented) {
    const message = `${address} runs a version that does not answer this question`;
    throw new CommandError({ kind: 'rejected', message });
  }
}

export class OperatorClient {
  private readonly stubs = new Map<string, OperatorStub>();

  private readonly addresses: string[];

  private leader: string | undefined;

  /** @param retryMs how long to look for a leader that answers */
  public constructor(
    private readonly settings: CliSettings,
    private readonly retryMs: number,
  ) {
    this.addresses = [...settings.control];
  }

  /** Allows the secret to be sent to a further control VM, such as one that replaces another. */
  public addAddress(address: string): void {
    if (!this.addresses.includes(address)) this.addresses.push(address);
  }

  /** Client for one address, without following the leader. */
  public at(address: string): OperatorStub {
    const known = this.stubs.get(address);
    if (known !== undefined) return known;
    const transport = createConnectTransport({
      baseUrl: `http://${address}`,
      httpVersion: '1.1',
      defaultTimeoutMs: ATTEMPT_TIMEOUT_MS,
      readMaxBytes: MAX_MESSAGE_BYTES,
      interceptors: [
        (next) => (req) => {
          req.header.set('authorization', `Bearer ${this.settings.secret}`);
          return next(req);
        },
      ],
    });
    const stub = createClient(OperatorService, transport);
    this.stubs.set(address, stub);
    return stub;
  }

  /** Asks one address. Throws `unreachable` if it does not answer. */
  public async askOne<T>(address: string, send: (stub: OperatorStub) => Promise<T>): Promise<T> {
    try {
      return await send(this.at(address));
    } catch (err) {
      throwIfFinal(err, address);
      const message = `${address} does not answer: ${ConnectError.from(err).rawMessage}`;
      throw new CommandError({ kind: 'unreachable', message });
    }
  }

  /**
   * Asks the leader, trying the control addresses until one answers as leader. A request is sent again after an
   * unknown outcome, so it must have no effect the second time. Throws `unreachable` when no address answers, and
   * `unknownOutcome` when the request may have had an effect.
   */
  public async ask<R extends Result>(
    send: (stub: OperatorStub) => Promise<{ readonly result: R }>,
    isChange = false,
  ): Promise<Answered<R>> {
    const end = performance.now() + this.retryMs;
    const problems = new Map<string, string>();
    let mayHaveArrived = false;
    for (;;) {
      const round = [...new Set([...(this.leader ? [this.leader] : []), ...this.addresses])];
      for (let address = round.shift(); address !== undefined; address = round.shift()) {
        const attempt = await this.attempt(address, send);
        if (attempt.answer !== undefined) {
          this.leader = address;
          return attempt.answer;
        }
        problems.set(address, attempt.problem);
        mayHaveArrived ||= attempt.mayHaveArrived;
        this.leader = this.knownAddress(attempt.leaderAddress);
        const next = round.indexOf(this.leader ?? '');
        if (next > 0) round.unshift(...round.splice(next, 1));
      }
      if (performance.now() + ROUND_PAUSE_MS > end) break;
      await sleep(ROUND_PAUSE_MS);
    }
    throw new CommandError({
      kind: isChange && mayHaveArrived ? 'unknownOutcome' : 'unreachable',
      message:
        isChange && mayHaveArrived
          ? 'the change was sent and its outcome is unknown'
          : 'no control VM answered as leader',
      details: [...problems].map(([address, problem]) => `${address}: ${problem}`),
    });
  }

  /** Sends a change. Safe to repeat, since the change id identifies it. */
  public async propose(change: Change): Promise<ChangeResult> {
    const bytes = new TextEncoder().encode(JSON.stringify(change));
    const { value } = await this.ask((stub) => stub.propose({ change: bytes }), true);
    return changeResultSchema.parse(JSON.parse(new TextDecoder().decode(value.result)));
  }

  /** Polls until a revision is in force on every entry or the time is over; returns the last progress. */
  public async waitInForce(
    revision: number,
    timeoutMs: number,
    onProgress: (progress: ChangeProgress) => void,
  ): Promise<ChangeProgress | undefined> {
    const end = performance.now() + timeoutMs;
    let progress: ChangeProgress | undefined;
    do {
      progress = await this.readProgress(revision, progress);
      if (progress !== undefined) onProgress(progress);
      const isDone = progress?.isAccepted && progress.entriesInForce === progress.entriesTotal;
      if (isDone || performance.now() + PROGRESS_INTERVAL_MS > end) return progress;
      await sleep(PROGRESS_INTERVAL_MS);
    } while (performance.now() < end);
    return progress;
  }

  /** Keeps the last known progress while control is unreachable: the change itself is recorded. */
  private async readProgress(
    revision: number,
    last: ChangeProgress | undefined,
  ): Promise<ChangeProgress | undefined> {
    try {
      const answer = await this.ask((stub) => stub.changeStatus({ revision: BigInt(revision) }));
      return answer.value;
    } catch (err) {
      if (err instanceof CommandError && err.failure.kind === 'unreachable') return last;
      throw err;
    }
  }

  /** The secret is sent to known control addresses only. */
  private knownAddress(address: string | undefined): string | undefined {
    return address !== undefined && this.addresses.includes(address) ? address : undefined;
  }

  private async attempt<R extends Result>(
    address: string,
    send: (stub: OperatorStub) => Promise<{ readonly result: R }>,
  ): Promise<Attempt<R>> {
    try {
      const { result } = await send(this.at(address));
      switch (result.case) {
        case undefined:
          return { problem: 'empty answer', mayHaveArrived: true };
        case 'unknown':
          return { problem: 'lost the leadership meanwhile', mayHaveArrived: true };
        case 'notLeader':
          return OperatorClient.notLeader(result);
        default:
          return { answer: result as Answered<R>, problem: '', mayHaveArrived: true };
      }
    } catch (err) {
      throwIfFinal(err, address);
      const problem = ConnectError.from(err).rawMessage;
      return { problem, mayHaveArrived: !isRefusedConnection(err) };
    }
  }

  private static notLeader<R extends Result>(result: Result): Attempt<R> {
    const { leaderAddress } = (result as { value: { leaderAddress: string } }).value;
    const problem =
      leaderAddress === ''
        ? 'not the leader, knows no leader'
        : `not the leader, names ${leaderAddress}`;
    return { leaderAddress, problem, mayHaveArrived: false };
  }
}
