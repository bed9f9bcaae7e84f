/** Control role of a daemon: a member of the replicated log, with its Connect services. */
import type { Clock } from '@marigoldbank/base/clock';
import { ConfigStateMachine } from '@marigoldbank/fleet/ConfigStateMachine';
import { FileLogStorage, openReplicatedLog } from '@marigoldbank/replicated-log';
import type { ConnectRouter } from '@connectrpc/connect';
import { ControlNode } from './control/ControlNode.js';
import { registerConfig } from './control/config-routes.js';
import type { Settings } from './settings.js';
import type { Channels } from './transport/Channels.js';
import { ConnectConsensusTransport } from './transport/ConnectConsensusTransport.js';
import { registerConsensus } from './transport/consensus-routes.js';

export class ControlRole {
  private constructor(public readonly node: ControlNode) {}

  /** Opens the data folder and starts the member of the replicated log. Rejects if the stored state is damaged. */
  public static async start(
    settings: Settings,
    clock: Clock,
    channels: Channels,
  ): Promise<ControlRole> {
    if (settings.dataFolder === undefined) throw new Error('the role control needs a dataFolder');
    const founders = settings.control.map(({ vm, address }) => ({ vm, address, incarnation: '' }));
    const machine = new ConfigStateMachine();
    const log = await openReplicatedLog({
      vm: settings.vm,
      address: settings.internalAddress,
      storage: new FileLogStorage(settings.dataFolder),
      transport: new ConnectConsensusTransport(channels),
      stateMachine: machine,
      bootstrap: settings.bootstrap ? founders : undefined,
      clock,
    });
    return new ControlRole(new ControlNode(clock, log, machine));
  }

  public register(router: ConnectRouter): void {
    registerConsensus(router, this.node.log);
    registerConfig(router, this.node);
  }

  public async stop(): Promise<void> {
    this.node.dispose();
    await this.node.log.close();
  }
}
