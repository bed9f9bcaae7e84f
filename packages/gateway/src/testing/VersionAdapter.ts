/** A protocol whose configurations consist of their version, and of the routes as JSON in a second line if there are any. */
import type { Route } from '@marigoldbank/routing/plan';
import type { Announcement } from '../announcement.js';
import { ProtocolAdapter, type ControlCall, type ParsedPlan } from '../ProtocolAdapter.js';
import { HEADER_NAMES, makeEmptyPlan } from './fixtures.js';

export const PUT_TARGET = '/put';
export const GET_TARGET = '/get';
export const START_TARGET = '/start/';
export const END_TARGET = '/end/';

export class VersionAdapter extends ProtocolAdapter {
  public override readonly headers = HEADER_NAMES;

  public override readonly readyPath = '/ready';

  public override parseControlCall(_method: string, url: string): ControlCall {
    if (url.startsWith(START_TARGET)) {
      return { kind: 'startEvacuation', dataCentre: url.slice(START_TARGET.length) };
    }
    if (url.startsWith(END_TARGET)) {
      return { kind: 'endEvacuation', dataCentre: url.slice(END_TARGET.length) };
    }
    return url === PUT_TARGET ? { kind: 'putPlan' } : { kind: 'getPlan' };
  }

  public override parseAnnouncement(id: string): Announcement {
    return {
      id,
      address: '10.9.0.1:80',
      service: 's1',
      dataCentre: 'dc-1',
      version: 'v1',
      slots: 6,
      isDraining: false,
      coldMs: 0,
      seq: 1,
      born: 1,
    };
  }

  public override formatAnnouncementAnswer(nextAddress: string | undefined): string {
    return nextAddress ?? '';
  }

  public override parseLeaveNotice(): number {
    return 0;
  }

  public override parsePlan(document: string): ParsedPlan {
    const [version, routes = '[]'] = document.split('\n');
    const plan = { ...makeEmptyPlan(Number(version)), routes: JSON.parse(routes) as Route[] };
    return { kind: 'valid', plan };
  }

  public override parseAddressLookup(): undefined {
    return undefined;
  }

  public override formatAddresses(): string {
    return '';
  }
}
