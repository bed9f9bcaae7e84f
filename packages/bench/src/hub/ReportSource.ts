/** Reports of one entry, or of one hub for its entries, batched as these do it. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import { SystemClock } from '@marigoldbank/base/clock';
import { Batcher } from '@marigoldbank/gateway/sync/Batcher';
import { EvidenceBuffer } from '@marigoldbank/gateway/sync/EvidenceBuffer';
import type {
  ServiceUseSchema,
  TargetEvidenceSchema,
  TeamUseSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';

const FAILURE_FLUSH_MS = 1;

export interface SourceReport {
  readonly evidence?: MessageInitShape<typeof TargetEvidenceSchema>[];
  readonly uses?: MessageInitShape<typeof ServiceUseSchema>[];
  readonly teams?: MessageInitShape<typeof TeamUseSchema>[];
}

export class ReportSource {
  private readonly evidence = new EvidenceBuffer();

  private readonly inFlight = new Map<string, number>();

  private readonly admitted = new Map<string, number>();

  private requests = 0;

  private readonly batcher: Batcher;

  public constructor(
    private readonly flushMs: number,
    public readonly send: (report: SourceReport) => void,
  ) {
    this.batcher = new Batcher(new SystemClock(), () => this.flush());
  }

  /** Adds the start of a request. */
  public start(target: string, team: string): void {
    this.requests += 1;
    this.admitted.set(team, (this.admitted.get(team) ?? 0) + 1);
    this.changeLoad(target, 1);
    this.evidence.add(target, 0, 0, 0);
    this.batcher.request(this.flushMs);
  }

  /** Adds the end of a request. */
  public end(target: string, hasFailed: boolean): void {
    this.changeLoad(target, -1);
    this.evidence.add(target, hasFailed ? 0 : 1, hasFailed ? 1 : 0, 0);
    this.batcher.request(hasFailed ? FAILURE_FLUSH_MS : this.flushMs);
  }

  private changeLoad(target: string, change: number): void {
    this.inFlight.set(target, Math.max(0, (this.inFlight.get(target) ?? 0) + change));
  }

  private flush(): void {
    this.send({
      evidence: this.evidence.take((target) => this.inFlight.get(target) ?? 0),
      uses: [{ service: 'service-0', requests: this.requests, repeats: 0 }],
      teams: [...this.admitted].map(([team, admitted]) => ({ team, admitted })),
    });
    this.requests = 0;
    this.admitted.clear();
  }
}
