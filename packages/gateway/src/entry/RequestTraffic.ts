/** Counts the bytes of a request and its answer: those to other data centres for operators, and all of a service for its price. */
import type { TargetState } from '@marigoldbank/routing/TargetTable';
import { crossBytesTotal, crossRequestsTotal } from '../metrics.js';
import type { UpstreamResponse } from './run-types.js';
import type { ServiceBytes } from './ServiceBytes.js';

/** Announced length of an answer, or what has arrived of it. */
function answerBytes({ headers, body }: UpstreamResponse): number {
  const announced = Number(headers['content-length'] ?? NaN);
  const arrived = body.reduce((sum, part) => sum + part.length, 0);
  return Number.isSafeInteger(announced) && announced >= 0 ? announced : arrived;
}

/** Heads are not counted. */
export class RequestTraffic {
  public constructor(
    /** Data centre of this entry. */
    private readonly dataCentre: string,
    /** Undefined while traffic between data centres has no price. */
    private readonly serviceBytes: ServiceBytes | undefined,
  ) {}

  /** Counts an attempt with a request body of this size. */
  public countRequest({ info }: TargetState, bytes: number, isFirst: boolean): void {
    const { service, dataCentre } = info;
    if (isFirst) this.serviceBytes?.countRequest(service, bytes);
    if (dataCentre === this.dataCentre) return;
    crossRequestsTotal.inc({ service });
    crossBytesTotal.inc({ service, direction: 'sent' }, bytes);
  }

  public countAnswer(response: UpstreamResponse): void {
    const { service, dataCentre } = response.target.info;
    const bytes = answerBytes(response);
    this.serviceBytes?.countAnswer(service, bytes);
    if (dataCentre !== this.dataCentre) {
      crossBytesTotal.inc({ service, direction: 'received' }, bytes);
    }
  }
}
