import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { afterEach, beforeEach, describe, it } from 'node:test';
import type { ServiceImpl } from '@connectrpc/connect';
import { AuditTrail } from '@marigoldbank/fleet/AuditTrail';
import type { Change, ChangeResult } from '@marigoldbank/fleet/changes';
import { createLists } from '@marigoldbank/lists/testing';
import type { OperatorService } from '@marigoldbank/protocol/gen/marigoldbank/v1/operator_pb';
import { expect } from 'earl';
import { commandNames } from './program.js';
import { runCli } from './run-cli.js';
import { startFakeControl, toJson, type FakeControl } from './testing-operator.js';
import { CliTestFolder } from './testing-cli.js';

type Methods = Partial<ServiceImpl<typeof OperatorService>>;

const RECORDED: ChangeResult = { kind: 'recorded', revision: 8 };
const LISTS = createLists();

/** Methods of a leader at revision 7 that answers every change with `result`, and the changes that it received. */
function createLeader(result: ChangeResult, inForce = 3): { changes: Change[]; methods: Methods } {
  const changes: Change[] = [];
  const methods: Methods = {
    propose: (req) => {
      changes.push(JSON.parse(new TextDecoder().decode(req.change)) as Change);
      const revision = 'revision' in result ? result.revision : 7;
      const value = { result: toJson(result), revision: BigInt(revision) };
      return { result: { case: 'recorded' as const, value } };
    },
    changeStatus: () => {
      const value = {
        isAccepted: inForce > 1,
        entriesInForce: inForce,
        entriesTotal: 3,
        missing: ['vm-1', 'vm-2', 'vm-3'].slice(inForce),
      };
      return { result: { case: 'progress' as const, value } };
    },
    getLists: () => {
      const content = toJson({ lists: LISTS, keyIds: ['hotel01'] });
      const value = { listsRevision: 7n, revision: 7n, content };
      return { result: { case: 'lists' as const, value } };
    },
  };
  return { changes, methods };
}

const createFollower = (leaderAddress: string): Methods => ({
  propose: () => ({ result: { case: 'notLeader' as const, value: { leaderAddress } } }),
  getLists: () => ({ result: { case: 'notLeader' as const, value: { leaderAddress } } }),
});

describe('marigoldbank', () => {
  let testFolder: CliTestFolder;
  let controls: FakeControl[];

  const start = async (methods: Methods): Promise<FakeControl> => {
    const control = await startFakeControl(methods);
    controls.push(control);
    return control;
  };

  const startLeader = async (result: ChangeResult, inForce = 3): Promise<Change[]> => {
    const { changes, methods } = createLeader(result, inForce);
    const { address } = await start(methods);
    testFolder.writeSettings([address]);
    return changes;
  };

  beforeEach(() => {
    testFolder = new CliTestFolder();
    controls = [];
    testFolder.writeLists(LISTS);
  });

  afterEach(async () => {
    await Promise.all(controls.map((control) => control.close()));
    testFolder.remove();
  });

  it('checks lists offline and reports errors by the exit code', async () => {
    expect((await testFolder.run(['check'], true)).exitCode).toEqual(0);
    testFolder.writeLists(createLists({ plans: {} }));
    const { exitCode, json } = await testFolder.run(['check'], true);
    expect(exitCode).toEqual(3);
    expect((json.details as string[]).length).toEqual(1);
  });

  const outcomes: [string, ChangeResult, number, number][] = [
    ['in force everywhere', RECORDED, 3, 0],
    ['recorded, not accepted', RECORDED, 1, 4],
    ['accepted, not everywhere', RECORDED, 2, 5],
    ['conflict', { kind: 'conflict', currentListsRevision: 7, changedSince: [] }, 3, 6],
    ['rejected', { kind: 'rejected', reasons: ['no'] }, 3, 7],
  ];
  outcomes.forEach(([name, result, inForce, expected]) => {
    it(`exits with code ${expected} from apply when the change is ${name}`, async () => {
      const changes = await startLeader(result, inForce);
      const args = ['apply', '--base', '5', '--timeout', '0.1'];
      expect((await testFolder.run(args, true)).exitCode).toEqual(expected);
      expect(changes.map(({ kind }) => kind)).toEqual(['applyLists']);
    });
  });

  it('bases apply on the revision that pull wrote, and advances it after each apply', async () => {
    const changes = await startLeader(RECORDED);
    expect((await testFolder.run(['apply'], true)).exitCode).toEqual(2);
    expect((await testFolder.run(['pull', '--force'], true)).exitCode).toEqual(0);
    expect((await testFolder.run(['apply'], true)).exitCode).toEqual(0);
    expect((await testFolder.run(['apply'], true)).exitCode).toEqual(0);
    const bases = changes.map(
      (change) => 'baseListsRevision' in change && change.baseListsRevision,
    );
    expect(bases).toEqual([7, 8]);
  });

  it('follows the leader, and resends a change with unknown outcome under the same change id', async () => {
    const leader = createLeader(RECORDED);
    const { address } = await start(leader.methods);
    let lost = 0;
    const follower = await start({
      ...createFollower(address),
      propose: () => {
        lost += 1;
        return { result: { case: 'unknown' as const, value: {} } };
      },
    });
    testFolder.writeSettings([follower.address, address]);
    const { exitCode } = await testFolder.run([
      'key',
      'withdraw',
      'hotel01',
      '--change-id',
      'once',
    ]);
    expect(exitCode).toEqual(0);
    expect(lost).toEqual(1);
    expect(leader.changes.map(({ changeId }) => changeId)).toEqual(['once']);
  });

  it('does not send the secret to an address that the settings do not name', async () => {
    const unlistedLeader = createLeader(RECORDED);
    const { address } = await start(unlistedLeader.methods);
    const follower = await start(createFollower(address));
    testFolder.writeSettings([follower.address]);
    expect((await testFolder.run(['drain', 'vm-1'])).exitCode).toEqual(8);
    expect(unlistedLeader.changes).toEqual([]);
  });

  it('distinguishes an unreachable control VM, an unknown outcome and a wrong secret', async () => {
    const stoppedControl = await start({});
    await stoppedControl.close();
    testFolder.writeSettings([stoppedControl.address]);
    expect((await testFolder.run(['drain', 'vm-1'])).exitCode).toEqual(8);
    const uncertainLeader = await start({
      propose: () => ({ result: { case: 'unknown', value: {} } }),
    });
    testFolder.writeSettings([uncertainLeader.address]);
    const run = await testFolder.run(['drain', 'vm-1', '--change-id', 'kept']);
    expect(run.exitCode).toEqual(9);
    expect((run.json.details as string[]).at(-1)?.includes('kept')).toEqual(true);
    testFolder.writeSettings([uncertainLeader.address], 'another-operator-secret');
    expect((await testFolder.run(['drain', 'vm-1'])).exitCode).toEqual(11);
  });

  it('shows a new key once and sends only the SHA-256 of its secret', async () => {
    const changes = await startLeader(RECORDED);
    const { json } = await testFolder.run(['key', 'issue', 'hotel', '--key-id', 'fresh1']);
    const secret = (json.key as string).slice('mb_fresh1_'.length);
    const [change] = changes;
    const hash = createHash('sha256').update(secret).digest('hex');
    expect(change?.kind === 'issueKey' && change.hash).toEqual(hash);
    expect(JSON.stringify(change).includes(secret)).toEqual(false);
  });

  it('reports that lists without an issued key withdraw the key', async () => {
    await startLeader(RECORDED);
    testFolder.writeLists(createLists({ teams: { hotel: { plan: 'basic', keys: [] } } }));
    const { json } = await testFolder.run(['diff'], true);
    expect(json.withdrawnKeys).toEqual([
      'key hotel01 was issued to team hotel and is withdrawn: it stops working and cannot be listed again',
    ]);
    const { stderrLines } = await testFolder.run(['apply', '--base', '7'], true);
    expect(stderrLines).toInclude('- key hotel01 of team hotel stops working');
  });

  /** Runs `control replace` for vm-1 and returns the requested membership changes. */
  async function replaceControl(addedVm: string): Promise<string[]> {
    const steps: string[] = [];
    const old = { vm: 'vm-1', incarnation: 'a', address: '127.0.0.1:1' };
    const added = { vm: addedVm, incarnation: 'b', address: '127.0.0.1:2' };
    let polls = 0;
    const { address } = await start({
      identity: () => ({ member: added }),
      changeMembership: ({ step }) => {
        steps.push(`${step.case} ${step.value?.incarnation}`);
        return { result: { case: 'committed', value: { voters: [], learners: [] } } };
      },
      status: () => {
        polls += 1;
        const learner = { member: added, isLearner: true, matchIndex: polls < 3 ? 4n : 9n };
        const voters = [{ member: old, matchIndex: 9n }, ...(steps.length > 0 ? [learner] : [])];
        return { result: { case: 'status', value: { commitIndex: 9n, voters } } };
      },
    });
    testFolder.writeSettings([address]);
    const { exitCode } = await testFolder.run(['control', 'replace', 'vm-1', address]);
    expect(exitCode).toEqual(0);
    expect(polls).toEqual(3);
    return steps;
  }

  it('replaces a control VM by another and removes the old one last', async () => {
    const steps = await replaceControl('vm-9');
    expect(steps).toEqual(['addLearner b', 'promoteLearner b', 'removeMember a']);
  });

  it('replaces a control VM that lost its disk and removes the old incarnation before the promotion', async () => {
    const steps = await replaceControl('vm-1');
    expect(steps).toEqual(['addLearner b', 'removeMember a', 'promoteLearner b']);
  });

  it('verifies and exports the audit trail, and detects an edited record', async () => {
    const trail = new AuditTrail();
    Array.from({ length: 3 }, (_, i) =>
      trail.append({
        revision: i,
        at: '2026-12-04T09:00:00Z',
        operator: 'maryam',
        changeId: `c${i}`,
        changeKind: 'removeEntry',
        summary: `remove vm-${i}`,
        result: { kind: 'recorded', revision: i },
      }),
    );
    let records = [...trail.records];
    const { address } = await start({
      audit: ({ fromSequence, limit }) => {
        const first = Number(fromSequence) - 1;
        const page = records.slice(first, first + Math.min(limit, 2));
        return {
          result: { case: 'page', value: { records: toJson(page), total: BigInt(records.length) } },
        };
      },
    });
    testFolder.writeSettings([address]);
    expect((await testFolder.run(['audit', 'verify'])).json.count).toEqual(3);
    const file = testFolder.file('audit.jsonl');
    expect((await testFolder.run(['audit', 'export', file])).exitCode).toEqual(0);
    expect(readFileSync(file, 'utf8').trim().split('\n').length).toEqual(3);
    expect((await testFolder.run(['audit', 'list', '--limit', '2'])).json.records).toEqual(
      records.slice(1),
    );
    records = records.map((record, i) => (i === 1 ? { ...record, operator: 'eve' } : record));
    expect((await testFolder.run(['audit', 'verify'])).exitCode).toEqual(10);
  });

  it('has help with examples for every command and shows no stack trace', async () => {
    const outputs = await Promise.all(
      commandNames().map(async (name) => {
        const lines: string[] = [];
        const io = {
          env: {},
          writeStdout: (line: string) => lines.push(line),
          writeStderr: () => undefined,
        };
        expect(await runCli([...name.split(' '), '--help'], io)).toEqual(0);
        return lines.join('\n').includes(`  marigoldbank ${name}`);
      }),
    );
    expect(outputs.every(Boolean)).toEqual(true);
    const stderrLines: string[] = [];
    const io = {
      env: {},
      writeStdout: () => undefined,
      writeStderr: (line: string) => stderrLines.push(line),
    };
    expect(await runCli(['aplly'], io)).toEqual(2);
    expect(stderrLines[0]).toEqual('marigoldbank: unknown command "aplly" (did you mean "apply"?)');
    expect(stderrLines.join('\n').includes('    at ')).toEqual(false);
  });
});
