import { describe, it } from 'node:test';
import { fromBinary } from '@bufbuild/protobuf';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { HubUpdateSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { expect } from 'earl';
import { decodeEvidenceBatch } from '../sync/evidence-batch.js';
import { HubTargets } from './HubTargets.js';
import { PlanStateMachine } from './PlanStateMachine.js';
import { TargetSnapshot } from './TargetSnapshot.js';

interface Fixture {
  readonly clock: VirtualClock;
  readonly snapshot: TargetSnapshot;
  readonly announce: (id: string, seq: number, isDraining: boolean) => void;
  readonly encodings: () => number;
}

function makeSnapshot(): Fixture {
  const clock = new VirtualClock();
  const targets = new HubTargets({
    clock,
    stateMachine: new PlanStateMachine(),
    logger: new NullLogger(),
  });
  let encodings = 0;
  const snapshot = new TargetSnapshot({
    clock,
    targets,
    evidence: {
      load: () => {
        encodings += 1;
        return [
          { id: 't1', inFlight: 3 },
          { id: 'gone', inFlight: 1 },
        ];
      },
    },
  });
  const announce = (id: string, seq: number, isDraining: boolean): boolean =>
    targets.register(
      {
        id,
        address: `10.0.0.1:${id.charCodeAt(0)}`,
        service: 's',
        dataCentre: 'dc-1',
        version: 'v1',
        slots: 6,
        isDraining,
        coldMs: 0,
        seq,
        born: 1,
      },
      clock.now(),
    );
  return { clock, snapshot, announce, encodings: () => encodings };
}

describe('TargetSnapshot', () => {
  // Entries that all moved to the remaining hubs kept these busy for seconds, so that they lost their leader.
  it('is encoded once for many entries that connect at about the same time', () => {
    const { clock, snapshot, announce, encodings } = makeSnapshot();
    Array.from({ length: 290 }).forEach((_, i) => announce(`t${i}`, 1, false));
    Array.from({ length: 50 }).forEach(() => {
      snapshot.encode();
      clock.advance(5);
    });
    expect(encodings()).toEqual(1);
    clock.advance(400);
    snapshot.encode();
    expect(encodings()).toEqual(2);
  });

  it('never names a target as it was before a change', () => {
    const { snapshot, announce } = makeSnapshot();
    announce('t1', 1, false);
    const isDraining = (): boolean[] =>
      fromBinary(HubUpdateSchema, snapshot.encode()).targets.map((target) => target.isDraining);
    expect(isDraining()).toEqual([false]);
    announce('t1', 2, true);
    expect(isDraining()).toEqual([true]);
  });

  it('contains the load of known targets', () => {
    const { snapshot, announce } = makeSnapshot();
    announce('t1', 1, false);
    const { evidenceBatch } = fromBinary(HubUpdateSchema, snapshot.encode());
    expect(decodeEvidenceBatch(evidenceBatch).map(({ inFlight }) => inFlight)).toEqual([3]);
  });
});
