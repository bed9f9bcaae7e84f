/** Starts and stops the roles of one daemon and the internal listener that they share. */
import type { ServiceImpl } from '@connectrpc/connect';
import { SystemClock } from '@marigoldbank/base/clock';
import { OperatorService } from '@marigoldbank/protocol/gen/marigoldbank/v1/operator_pb';
import { createOperatorService } from './control/operator-routes.js';
import { ControlRole } from './ControlRole.js';
import { createInternalApp } from './entry/internalApp.js';
import { EntryRole } from './EntryRole.js';
import type { Settings } from './settings.js';
import type { Logger } from './telemetry/Logger.js';
import { Metrics } from './telemetry/Metrics.js';
import { Channels } from './transport/Channels.js';
import { InternalServer } from './transport/InternalServer.js';

const PEER_SERVICES: ReadonlySet<string> = new Set([
  'marigoldbank.v1.ConsensusService',
  'marigoldbank.v1.ConfigService',
  'marigoldbank.v1.PeerService',
]);

export class Daemon {
  private readonly clock = new SystemClock();

  private readonly metrics = new Metrics();

  private readonly channels: Channels;

  private control: ControlRole | undefined;

  private entry: EntryRole | undefined;

  private server: InternalServer | undefined;

  public constructor(
    private readonly settings: Settings,
    private readonly logger: Logger,
  ) {
    this.channels = new Channels({
      secret: settings.secrets.peer,
      outgoingAddress: settings.outgoingAddress,
    });
  }

  /** Starts all roles. Rejects if an address is in use or the stored state is damaged. */
  public async start(): Promise<void> {
    const { settings, clock, channels, logger, metrics } = this;
    if (settings.roles.includes('control')) {
      this.control = await ControlRole.start(settings, clock, channels);
    }
    if (settings.roles.includes('entry')) {
      this.entry = new EntryRole({ settings, clock, channels, logger, metrics });
    }
    this.server = this.createServer();
    await this.server.listen();
    await this.entry?.start();
    logger.log('info', 'started', { vm: settings.vm, roles: settings.roles.join(',') });
  }

  /** Drains the entry, then stops the control role and the internal listener. */
  public async stop(): Promise<void> {
    await this.entry?.drain();
    await this.control?.stop();
    await this.server?.close();
    this.channels.dispose();
    this.logger.log('info', 'stopped', { vm: this.settings.vm });
  }

  private createServer(): InternalServer {
    const { settings, metrics } = this;
    return new InternalServer({
      address: settings.listen.internal ?? settings.internalAddress,
      secretOf: (typeName) => this.secretOf(typeName),
      register: (router) => {
        this.control?.register(router);
        this.entry?.register(router);
        router.service(OperatorService, this.createOperatorMethods());
      },
      fallback: createInternalApp({
        announcementSecret: settings.secrets.announcement,
        onAnnouncements: (announcements) => this.entry?.receiveAnnouncements(announcements),
        metrics,
        findUnreadyReason: () => this.entry?.findUnreadyReason(),
      }),
    });
  }

  /** One service answers operators: `explain` comes from the entry role, all other methods from the control role. */
  private createOperatorMethods(): Partial<ServiceImpl<typeof OperatorService>> {
    const { control, entry } = this;
    return {
      ...(control === undefined ? {} : createOperatorService(control.node)),
      ...(entry === undefined
        ? {}
        : {
            explain: (req) => {
              const { steps, outcome, targets } = entry.explain(req);
              return { steps: [...steps], outcome, targets: [...targets] };
            },
          }),
    };
  }

  private secretOf(typeName: string): string | undefined {
    if (typeName === OperatorService.typeName) return this.settings.secrets.operator;
    return PEER_SERVICES.has(typeName) ? this.settings.secrets.peer : undefined;
  }
}
