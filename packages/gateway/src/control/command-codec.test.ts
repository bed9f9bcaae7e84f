import { describe, it } from 'node:test';
import { expect } from 'earl';
import { makeEmptyPlan } from '../testing/fixtures.js';
import { commandEncoder, decodeCommand, encodeCompactCommand } from './command-codec.js';
import { commandKey, encodeCommand, readPlanVersion, type CommandInit } from './commands.js';
import { PlanStateMachine } from './PlanStateMachine.js';

const LARGE_ROUTE = {
  name: 'scans',
  host: 'a.example',
  prefix: '/scans/',
  isIdempotent: false,
  hasLargeBody: true,
  timeoutMs: 2_000,
  objectiveMs: 1_000,
  priority: 1,
  split: [{ service: 'ingest', weight: 1 }],
  maxTargets: 2,
  isAnonymous: false,
};

function makePut(version: number, routes: readonly (typeof LARGE_ROUTE)[] = []): CommandInit {
  const document = JSON.stringify({
    version,
    teams: Array.from({ length: 400 }, (_, i) => `team-${i}`),
  });
  const plan = { ...makeEmptyPlan(version), routes } as never;
  return { kind: 'putPlan', document, plan };
}

function apply(machine: PlanStateMachine, index: number, data: Uint8Array): string {
  return Buffer.from(machine.apply(index, data)).toString();
}

describe('compressed commands', () => {
  // Guards against members that hold different documents after commands in both forms.
  it('have the effect of plain ones', () => {
    const [compact, plain] = [new PlanStateMachine(), new PlanStateMachine()];
    [1, 2, 2, 3].forEach((version, i) => {
      const command = makePut(version);
      const result = apply(compact, i + 1, encodeCompactCommand(command));
      expect(result).toEqual(apply(plain, i + 1, encodeCommand(command)));
    });
    expect(compact.current?.document).toEqual(plain.current?.document);
    expect(Buffer.from(compact.snapshot())).toEqual(Buffer.from(plain.snapshot()));
  });

  // Guards against entries that read the version of a stored plan as none, and keep an older plan after a loss of power.
  it('show their version without being read', () => {
    const data = encodeCompactCommand(makePut(41));
    expect(readPlanVersion(data)).toEqual(41);
    expect(commandKey(decodeCommand(data)!)).toEqual(commandKey(makePut(41)));
  });

  it('are smaller, and small commands stay plain', () => {
    const command = makePut(1);
    expect(encodeCompactCommand(command).length * 2).toBeLessThan(encodeCommand(command).length);
    const mark = { kind: 'markLeaving', id: 'i-1', born: 1, isGone: false, at: 0 } as const;
    expect(encodeCompactCommand(mark)).toEqual(encodeCommand(mark));
  });

  it('with damaged content end the process that reads them instead of being skipped', () => {
    const damaged = { kind: 'putPlan', version: 1, deflated: 'AAAA' };
    expect(() => decodeCommand(Buffer.from(JSON.stringify(damaged)))).toThrow();
  });

  // Guards against a changed log in fleets whose configuration does not call for it.
  it('are written only with a price, for plans that it applies to', () => {
    const placement = { crossingPrice: 0.03, plans: 'largeBodies' } as const;
    const plain = makePut(1);
    const large = makePut(1, [LARGE_ROUTE]);
    expect(commandEncoder({})(large)).toEqual(encodeCommand(large));
    expect(commandEncoder({ placement })(plain)).toEqual(encodeCommand(plain));
    expect(commandEncoder({ placement })(large)).toEqual(encodeCompactCommand(large));
    expect(commandEncoder({ placement: { ...placement, plans: 'all' } })(plain)).toEqual(
      encodeCompactCommand(plain),
    );
  });

  // A change of a plan of thousands of routes took ten times the bytes, at each member, in each file and in each copy.
  it('are written for every large plan', () => {
    const large = makePut(
      1,
      Array.from({ length: 1_000 }, () => LARGE_ROUTE),
    );
    const data = commandEncoder({})(large);
    expect(data).toEqual(encodeCompactCommand(large));
    expect(data.length * 8).toBeLessThan(encodeCommand(large).length);
    expect(decodeCommand(data)).toEqual(decodeCommand(encodeCommand(large)));
  });
});
