/** Clients of the log processes of control VMs in virtual time. */
import { create } from '@bufbuild/protobuf';
import { delay, type Clock } from '@marigoldbank/base/clock';
import { Random } from '@marigoldbank/base/random';
import {
  CommittedStateSchema,
  ListHubsResponseSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import { PlanUpdateSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { IDirectoryClient } from '../sync/DirectoryClient.js';
import type { IPlanClient } from '../entry/PlanClient.js';
import type { FakeHub } from './fake-fleet-parts.js';

/** Time for a question to the log process of a VM. */
const CALL_MS = 2;

export class FakeLogClients {
  /** Time from a question for the plan to its answer. */
  public planAnswerMs = CALL_MS;

  /** Time for a call for the plan, besides. */
  public planFetchMs = 0;

  /** Share of the questions for the plan that are lost on their way. */
  public planLoss = 0;

  private readonly random = new Random(1);

  /** `hubAt` returns the VM whose log process an address names: that of its hub. */
  public constructor(
    private readonly clock: Clock,
    private readonly hubAt: (address: string) => FakeHub,
  ) {}

  /** Client for the log processes, which are named by the addresses of the hubs of their VMs. */
  public directoryClient(): IDirectoryClient {
    return {
      ask: async (address, dataCentre, timeoutMs) => {
        const { directory, isLogDown, logFrozenUntil } = this.hubAt(address);
        const isAnswering = !isLogDown && this.clock.now() >= logFrozenUntil;
        await delay(this.clock, isAnswering ? CALL_MS : timeoutMs);
        if (!isAnswering) return undefined;
        const { hubs, isSettled } = directory.list(dataCentre);
        return create(ListHubsResponseSchema, { hubs: [...hubs], isSettled });
      },
    };
  }

  /** Client for the plans of the log processes. */
  public planClient(): IPlanClient {
    const call = async (address: string, timeoutMs: number): Promise<FakeHub | undefined> => {
      const hub = this.hubAt(address);
      const isRunning = !hub.isLogDown && this.clock.now() >= hub.logFrozenUntil;
      const isAnswering = isRunning && this.planAnswerMs <= timeoutMs;
      await delay(this.clock, isAnswering ? this.planAnswerMs : timeoutMs);
      return isAnswering ? hub : undefined;
    };
    return {
      ask: async (address, held, timeoutMs) => {
        if (this.planLoss > 0 && this.random.float() < this.planLoss) {
          await delay(this.clock, timeoutMs);
          return undefined;
        }
        const state = (await call(address, timeoutMs))?.history.stateFor(held);
        return state === undefined ? undefined : create(CommittedStateSchema, state);
      },
      fetchPlan: async (address, heldVersion, isStored, timeoutMs) => {
        const hub = await call(address, timeoutMs);
        await delay(this.clock, Math.min(timeoutMs, this.planFetchMs));
        const update =
          this.planFetchMs > timeoutMs ? undefined : hub?.history.updateFrom(heldVersion, isStored);
        if (update === undefined) throw new Error('timed out');
        return create(PlanUpdateSchema, update);
      },
    };
  }
}
