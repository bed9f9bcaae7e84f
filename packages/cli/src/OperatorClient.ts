/** Client of the operator service that finds the leader among the control VMs. */
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

/** Result from the leader, with a known outcome. */
type LeaderAnswer<R extends Result> = Exclude<
  R,
  { readonly case: 'notLeader' | 'unknown' | undefined }
>;

interface Attempt<R extends Result> {
  readonly answer?: LeaderAnswer<R>;
  /** Address of the leader that the answer names. */
  readonly leaderAddress?: string;
  /** Why there is no answer, empty if there is one. */
  readonly problem: string;
  /** Whether the request may have had an effect. */
  readonly mayHaveArrived: boolean;
}

function isRefusedConnection(err: unknown): boolean {
  const cause = err instanceof ConnectError ? err.cause : err;
  return (cause as { code?: string } | undefined)?.code === 'ECONNREFUSED';
}

/** Throws for errors that every other control address would answer with as well. */
function throwIfNotRetryable(err: unknown, address: string): void {
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

  /** @param retryMs time to keep looking for a leader that answers */
  public constructor(
    private readonly settings: CliSettings,
    private readonly retryMs: number,
  ) {
    this.addresses = [...settings.control];
  }

  /** Adds an address that the secret may be sent to, such as that of a replacement control VM. */
  public addAddress(address: string): void {
    if (!this.addresses.includes(address)) this.addresses.push(address);
  }

  /** Client stub for one address; it does not follow the leader. */
  public stubFor(address: string): OperatorStub {
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

  /** Sends a request to one address. Throws `unreachable` if it does not answer. */
  public async callAddress<T>(
    address: string,
    send: (stub: OperatorStub) => Promise<T>,
  ): Promise<T> {
    try {
      return await send(this.stubFor(address));
    } catch (err) {
      throwIfNotRetryable(err, address);
      const message = `${address} does not answer: ${ConnectError.from(err).rawMessage}`;
      throw new CommandError({ kind: 'unreachable', message });
    }
  }

  /**
   * Sends a request to the control addresses until one answers as leader. A request is sent again after an unknown
   * outcome, so it must be idempotent. Throws `unreachable` when no address answers, and `unknownOutcome` when a change
   * may have had an effect.
   */
  public async callLeader<R extends Result>(
    send: (stub: OperatorStub) => Promise<{ readonly result: R }>,
    isChange = false,
  ): Promise<LeaderAnswer<R>> {
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
        this.leader = this.trustedAddress(attempt.leaderAddress);
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

  /** Sends a change. It is idempotent, since control recognises the change id. */
  public async propose(change: Change): Promise<ChangeResult> {
    const bytes = new TextEncoder().encode(JSON.stringify(change));
    const { value } = await this.callLeader((stub) => stub.propose({ change: bytes }), true);
    return changeResultSchema.parse(JSON.parse(new TextDecoder().decode(value.result)));
  }

  /** Polls until a revision is in force on every entry or the timeout ends. Returns the last progress. */
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

  /** Reads the progress; while control is unreachable, returns the last one, since the change itself is recorded. */
  private async readProgress(
    revision: number,
    last: ChangeProgress | undefined,
  ): Promise<ChangeProgress | undefined> {
    try {
      const answer = await this.callLeader((stub) =>
        stub.changeStatus({ revision: BigInt(revision) }),
      );
      return answer.value;
    } catch (err) {
      if (err instanceof CommandError && err.failure.kind === 'unreachable') return last;
      throw err;
    }
  }

  /** The address if it is a configured or added one, since the secret is sent only to these. */
  private trustedAddress(address: string | undefined): string | undefined {
    return address !== undefined && this.addresses.includes(address) ? address : undefined;
  }

  private async attempt<R extends Result>(
    address: string,
    send: (stub: OperatorStub) => Promise<{ readonly result: R }>,
  ): Promise<Attempt<R>> {
    try {
      const { result } = await send(this.stubFor(address));
      switch (result.case) {
        case undefined:
          return { problem: 'empty answer', mayHaveArrived: true };
        case 'unknown':
          return { problem: 'lost the leadership meanwhile', mayHaveArrived: true };
        case 'notLeader':
          return OperatorClient.notLeader(result);
        default:
          return { answer: result as LeaderAnswer<R>, problem: '', mayHaveArrived: true };
      }
    } catch (err) {
      throwIfNotRetryable(err, address);
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
