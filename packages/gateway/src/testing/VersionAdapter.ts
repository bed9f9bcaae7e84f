/** A protocol whose configurations consist of their version. */
import { ProtocolAdapter, type ControlCall, type ParsedPlan } from '../ProtocolAdapter.js';
import { HEADER_NAMES, makeEmptyPlan } from './fixtures.js';

export const PUT_TARGET = '/put';
export const GET_TARGET = '/get';

export class VersionAdapter extends ProtocolAdapter {
  public override readonly headers = HEADER_NAMES;

  public override readonly readyPath = '/ready';

  public override parseControlCall(_method: string, url: string): ControlCall {
    return url === PUT_TARGET ? { kind: 'putPlan' } : { kind: 'getPlan' };
  }

  public override parseAnnouncement(): undefined {
    return undefined;
  }

  public override parseLeaveNotice(): number {
    return 0;
  }

  public override parsePlan(document: string): ParsedPlan {
    return { kind: 'valid', plan: makeEmptyPlan(Number(document)) };
  }

  public override parseAddressLookup(): undefined {
    return undefined;
  }

  public override formatAddresses(): string {
    return '';
  }
}
