import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { EntryReportSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { expect } from 'earl';
import { TargetRefs } from '../sync/TargetRefs.js';
import { EntryRegistry } from './EntryRegistry.js';
import type { PeerHub } from './PeerHub.js';
import { PlacementPaths } from './PlacementPaths.js';

const PEER: PeerHub = {
  address: '10.0.0.2:1',
  dataCentre: 'dc-2',
  lastMessageAt: 0,
  time: undefined,
  report: undefined,
  takesTokenOrders: false,
  refs: new TargetRefs(),
};

function identity(vm: string, dataCentre: string): Parameters<EntryRegistry['set']>[1] {
  return { vm, address: `${vm}:80`, dataCentre };
}

describe('PlacementPaths', () => {
  it('does not know the demand of a data centre whose hubs are silent, or whose entries are lost', () => {
    const entries = new EntryRegistry();
    entries.set('', identity('e1', 'dc-1'), true);
    ['e2', 'e3', 'e4'].forEach((vm) => entries.set(PEER.address, identity(vm, 'dc-2'), true));
    const paths = new PlacementPaths('dc-1', entries);
    paths.noteRelay({}, PEER, 0);
    expect([1_000, 4_000].map((now) => paths.heardShare('dc-2', now))).toEqual([1, 0]);
    paths.noteRelay({}, PEER, 5_000);
    entries.remove(PEER.address, 'e2', 5_000);
    expect(Math.round(paths.heardShare('dc-2', 5_100) * 100)).toEqual(67);
    expect(paths.heardShare('dc-1', 5_100)).toEqual(1);
  });

  it('sees a cut in one direction by the attempts of own entries, and not failures that are the same everywhere', () => {
    const paths = new PlacementPaths('dc-1', new EntryRegistry());
    const evidence = ['own', 'far', 'cut'].map((id) => ({
      id,
      succeeded: id === 'cut' ? 0 : 70,
      suspect: id === 'cut' ? 100 : 30,
    }));
    const dataCentres: Record<string, string> = { own: 'dc-1', far: 'dc-2', cut: 'dc-3' };
    const report = create(EntryReportSchema, { evidence });
    paths.noteReport('dc-1', report, (id) => dataCentres[id], 0);
    expect(paths.pathOf('dc-1', 'dc-2', 100).failedShare).toEqual(0);
    expect(paths.pathOf('dc-1', 'dc-3', 100).failedShare).toBeGreaterThan(0.5);
    expect(paths.pathOf('dc-3', 'dc-1', 100).failedShare).toEqual(0);
  });
});
