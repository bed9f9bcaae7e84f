import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Announcement } from '../ProtocolAdapter.js';
import { TargetRegistry } from './TargetRegistry.js';

function makeAnnouncement(overrides: Partial<Announcement> = {}): Announcement {
  return {
    id: 'i-1',
    address: '10.0.0.1:80',
    service: 'orders',
    dataCentre: 'dc-1',
    version: 'v1',
    slots: 6,
    isDraining: false,
    coldMs: 0,
    seq: 1,
    born: 1_000,
    ...overrides,
  };
}

describe('TargetRegistry', () => {
  it('passes over an announcement that was overtaken by a newer one', () => {
    const registry = new TargetRegistry();
    registry.announce(makeAnnouncement({ seq: 5, isDraining: true }), 0);
    expect(registry.announce(makeAnnouncement({ seq: 4 }), 10)).toEqual('outdated');
    expect(registry.get('i-1')?.announcement.isDraining).toEqual(true);
  });

  it('begins anew with a later start under the same id, whose count starts again', () => {
    const registry = new TargetRegistry();
    registry.announce(makeAnnouncement({ seq: 50 }), 0);
    expect(registry.announce(makeAnnouncement({ seq: 1, born: 2_000 }), 10)).toEqual('changed');
    expect(registry.announce(makeAnnouncement({ seq: 51 }), 20)).toEqual('outdated');
  });

  it('does not bring back a target that left by a late announcement', () => {
    const registry = new TargetRegistry();
    registry.announce(makeAnnouncement(), 0);
    registry.leave('i-1', 1_000);
    expect(registry.announce(makeAnnouncement({ seq: 9 }), 10)).toEqual('outdated');
    expect(registry.get('i-1')).toEqual(undefined);
  });

  it('keeps an address for its later holder when an earlier one is heard late', () => {
    const registry = new TargetRegistry();
    registry.announce(makeAnnouncement({ id: 'i-2', service: 'dispatch', born: 5_000 }), 0);
    expect(registry.announce(makeAnnouncement({ seq: 9 }), 10)).toEqual('outdated');
    expect(registry.displacedBy(makeAnnouncement({ id: 'i-3' }))).toEqual('i-2');
  });

  it('drops a target that is silent, not one that is only cut off for some seconds', () => {
    const registry = new TargetRegistry();
    registry.announce(makeAnnouncement(), 0);
    expect(registry.expire(12_000)).toEqual([]);
    expect(registry.expire(60_000)).toEqual(['i-1']);
  });
});
