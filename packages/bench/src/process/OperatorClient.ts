/** Operator client for tests and measurements. It tries the control VMs in turn until the leader answers. */
import { createHash, randomBytes, randomUUID } from 'node:crypto';
import { createClient, type Client } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { changeResultSchema, type Change, type ChangeResult } from '@marigoldbank/fleet/changes';
import type { Lists } from '@marigoldbank/lists/schema';
import {
  OperatorService,
  type ChangeProgress,
  type FleetStatus,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/operator_pb';
import { OPERATOR_SECRET } from './Fleet.js';

const CALL_TIMEOUT_MS = 1_000;

const PAUSE_MS = 50;

type OperatorRpcClient = Client<typeof OperatorService>;

/** An answer of a control VM. `pick` returns its content, undefined if the VM is not the leader. */
interface LeaderReply<T> {
  readonly pick: () => T | undefined;
}

/** A new key with its secret part, which the fleet does not store. */
export interface IssuedKey {
  readonly keyId: string;
  readonly key: string;
  readonly revision: number;
}

function pause(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, PAUSE_MS);
  });
}

/** The leader's answer, or undefined if this VM is not the leader or does not answer. */
async function tryVm<T>(
  client: OperatorRpcClient,
  send: (client: OperatorRpcClient) => Promise<LeaderReply<T>>,
): Promise<T | undefined> {
  try {
    return (await send(client)).pick();
  } catch {
    return undefined;
  }
}

export class OperatorClient {
  private readonly clients: readonly OperatorRpcClient[];

  public constructor(
    addresses: readonly string[],
    private readonly operator = 'tester',
  ) {
    this.clients = addresses.map((address) =>
      createClient(
        OperatorService,
        createConnectTransport({
          baseUrl: `http://${address}`,
          httpVersion: '1.1',
          interceptors: [
            (next) => (req) => {
              req.header.set('authorization', `Bearer ${OPERATOR_SECRET}`);
              return next(req);
            },
          ],
        }),
      ),
    );
  }

  /** Sends a change until a leader answers. Every attempt has the same change id, so it is applied once. */
  public async propose(change: Change, timeoutMs = 10_000): Promise<ChangeResult> {
    const bytes = new TextEncoder().encode(JSON.stringify(change));
    return this.askLeader(timeoutMs, async (client) => {
      const { result } = await client.propose({ change: bytes }, { timeoutMs: CALL_TIMEOUT_MS });
      const pick = (): ChangeResult | undefined =>
        result.case === 'recorded'
          ? changeResultSchema.parse(JSON.parse(new TextDecoder().decode(result.value.result)))
          : undefined;
      return { pick };
    });
  }

  public async applyLists(lists: Lists, base?: number): Promise<ChangeResult> {
    const baseListsRevision = base ?? Number((await this.status()).listsRevision);
    return this.propose({ kind: 'applyLists', ...this.commonFields(), baseListsRevision, lists });
  }

  public async issueKey(team: string): Promise<IssuedKey> {
    const keyId = randomBytes(6).toString('hex');
    const secret = randomBytes(32).toString('hex');
    const hash = createHash('sha256').update(secret).digest('hex');
    const result = await this.propose({
      kind: 'issueKey',
      ...this.commonFields(),
      team,
      keyId,
      hash,
    });
    if (result.kind !== 'recorded') throw new Error(`key not issued: ${JSON.stringify(result)}`);
    return { keyId, key: `mb_${keyId}_${secret}`, revision: result.revision };
  }

  public withdrawKey(keyId: string): Promise<ChangeResult> {
    return this.propose({ kind: 'withdrawKey', ...this.commonFields(), keyId });
  }

  public async status(timeoutMs = 10_000): Promise<FleetStatus> {
    return this.askLeader(timeoutMs, async (client) => {
      const { result } = await client.status({}, { timeoutMs: CALL_TIMEOUT_MS });
      return { pick: () => (result.case === 'status' ? result.value : undefined) };
    });
  }

  public async progress(revision: number): Promise<ChangeProgress> {
    return this.askLeader(10_000, async (client) => {
      const message = { revision: BigInt(revision) };
      const { result } = await client.changeStatus(message, { timeoutMs: CALL_TIMEOUT_MS });
      return { pick: () => (result.case === 'progress' ? result.value : undefined) };
    });
  }

  /** Waits until a revision is accepted. */
  public async waitAccepted(revision: number, timeoutMs = 10_000): Promise<void> {
    const end = performance.now() + timeoutMs;
    while (!(await this.progress(revision)).isAccepted) {
      if (performance.now() > end) throw new Error(`revision ${revision} is not accepted`);
      await pause();
    }
  }

  private commonFields(): { changeId: string; operator: string; at: string } {
    return { changeId: randomUUID(), operator: this.operator, at: new Date().toISOString() };
  }

  private async askLeader<T>(
    timeoutMs: number,
    send: (client: OperatorRpcClient) => Promise<LeaderReply<T>>,
  ): Promise<T> {
    const end = performance.now() + timeoutMs;
    for (let i = 0; performance.now() < end; i += 1) {
      const reply = await tryVm(this.clients[i % this.clients.length]!, send);
      if (reply !== undefined) return reply;
      await pause();
    }
    throw new Error(`no control leader answered within ${timeoutMs} ms`);
  }
}
