/** End-to-end demo on one machine, from lists to withdrawn keys. Every step prints what it checked. */
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { FakeUpstream } from '@marigoldbank/daemon/testing/FakeUpstream';
import { stringify } from 'smol-toml';
import { fetch } from 'undici';
import { ANNOUNCEMENT_SECRET, OPERATOR_SECRET, waitUntil, type Fleet } from '../process/Fleet.js';
import { CommandLine, type CommandResult } from './CommandLine.js';
import { DEMO_PLANS, DEMO_TEAMS } from './lists.js';

const ORDERS_TARGETS = 3;

/** Maximum time until a new fleet has tokens: the view must be accepted and current, and a loan must expire. */
const SERVING_TIMEOUT_MS = 15_000;

/** Maximum time for which a withdrawn key is still accepted, from the answer to the withdrawal. */
const WITHDRAWAL_BOUND_MS = 3_000;

interface CallerAnswer {
  readonly status: number;
  readonly body: string;
}

export class Demo {
  private readonly upstreams: FakeUpstream[] = [];

  private readonly commands: CommandLine;

  private readonly teamsFile: string;

  private readonly plansFile: string;

  public constructor(private readonly fleet: Fleet) {
    const settingsFile = path.join(fleet.folder, 'marigoldbank.toml');
    this.teamsFile = path.join(fleet.folder, 'teams.toml');
    this.plansFile = path.join(fleet.folder, 'plans.toml');
    this.commands = new CommandLine(settingsFile);
    const settings = {
      control: fleet.controlAddresses,
      operator: 'demo',
      secret: OPERATOR_SECRET,
    };
    writeFileSync(settingsFile, stringify(settings));
    writeFileSync(this.teamsFile, DEMO_TEAMS);
    writeFileSync(this.plansFile, DEMO_PLANS);
  }

  /** Runs all steps. Throws at the first one that fails. */
  public async run(): Promise<void> {
    await this.fleet.waitReady(SERVING_TIMEOUT_MS);
    Demo.report(`${this.fleet.entries.length} entries joined and are current`);
    await this.applyLists();
    const hospital = await this.issueKey('harbour-hospital');
    const market = await this.issueKey('fish-market');
    await this.startUpstreams();
    const addresses = await this.lookUpAddresses();
    await this.verifyServing(addresses, hospital.key);
    await Demo.verifyRefusal(addresses, market.key);
    await this.verifyExplain();
    await this.verifyIdempotency(addresses, hospital.key);
    await this.verifyWithdrawal(addresses, hospital);
    await this.verifyAudit();
  }

  public async stop(): Promise<void> {
    await Promise.all(this.upstreams.map((upstream) => upstream.crash()));
    await this.fleet.stop();
  }

  private static report(text: string): void {
    console.log(`ok  ${text}`);
  }

  private static check(condition: boolean, text: string): void {
    if (!condition) throw new Error(`not ok: ${text}`);
    Demo.report(text);
  }

  private async command(...args: readonly string[]): Promise<CommandResult> {
    const result = await this.commands.run(...args);
    if (result.exitCode !== 0) {
      throw new Error(`marigoldbank ${args.join(' ')}: exit ${result.exitCode} ${result.stderr}`);
    }
    return result;
  }

  private listArgs(): string[] {
    return ['--teams', this.teamsFile, '--plans', this.plansFile];
  }

  private async applyLists(): Promise<void> {
    await this.command('check', ...this.listArgs());
    Demo.report('marigoldbank check: the two lists have no errors');
    await this.command('apply', ...this.listArgs(), '--base', '0');
    Demo.report('marigoldbank apply: the lists are in force on every entry');
  }

  private async issueKey(team: string): Promise<{ keyId: string; key: string }> {
    const { stdout } = await this.command('key', 'issue', team, '--json');
    const { keyId, key } = JSON.parse(stdout) as { keyId: string; key: string };
    Demo.check(key.startsWith(`mb_${keyId}_`), `marigoldbank key issue: ${team} has key ${keyId}`);
    return { keyId, key };
  }

  private async startUpstreams(): Promise<void> {
    const internal = this.fleet.entries.map((vm) => this.fleet.listenAddress(vm));
    const started = Array.from({ length: ORDERS_TARGETS }, async (_, i) => {
      const options = { service: 'orders', target: `orders-${i + 1}`, dataCentre: 'dc-a' };
      const upstream = new FakeUpstream(options);
      await upstream.listen();
      upstream.startAnnouncing(internal, ANNOUNCEMENT_SECRET);
      this.upstreams.push(upstream);
    });
    await Promise.all(started);
    Demo.report(`${ORDERS_TARGETS} upstreams announce themselves`);
  }

  private async lookUpAddresses(): Promise<string[]> {
    const first = this.fleet.callerUrl(this.fleet.entries[0]!);
    const res = await fetch(`${first}/.well-known/marigoldbank/addresses?dataCentre=dc-b`);
    const { addresses } = (await res.json()) as { addresses: string[] };
    Demo.check(
      addresses.length === this.fleet.entries.length,
      `a caller is told to use ${addresses.join(', ')}`,
    );
    return addresses;
  }

  private static async call(
    address: string,
    key: string,
    method: string,
    target: string,
    headers: Record<string, string> = {},
  ): Promise<CallerAnswer> {
    const res = await fetch(`http://${address}${target}`, {
      method,
      headers: { authorization: `Bearer ${key}`, ...headers },
      ...(method === 'POST' ? { body: 'two pallets' } : {}),
    });
    return { status: res.status, body: await res.text() };
  }

  private async verifyServing(addresses: readonly string[], key: string): Promise<void> {
    const served = addresses.map((address) =>
      waitUntil(
        `${address} serves the route`,
        async () => (await Demo.call(address, key, 'GET', '/orders/7')).status === 200,
        SERVING_TIMEOUT_MS,
      ),
    );
    await Promise.all(served);
    Demo.report('every entry answers GET /orders/7 from an upstream');
    const hasLeaked = this.upstreams.some((upstream) =>
      upstream.seen.some((seen) => JSON.stringify(seen).includes(key)),
    );
    Demo.check(!hasLeaked, 'no upstream saw the key');
  }

  private static async verifyRefusal(addresses: readonly string[], key: string): Promise<void> {
    const answer = await Demo.call(addresses[0]!, key, 'POST', '/orders');
    Demo.check(
      answer.status === 403 && answer.body.includes('"not-run"'),
      'a team whose plan lacks the route is refused with verdict not-run',
    );
  }

  private async verifyExplain(): Promise<void> {
    const { stdout } = await this.command('explain', 'POST', '/orders', '--team', 'fish-market');
    Demo.check(
      stdout.includes('does not include route place-order'),
      'marigoldbank explain: says why, without sending the request',
    );
  }

  private async verifyIdempotency(addresses: readonly string[], key: string): Promise<void> {
    const executed = (): number =>
      this.upstreams.flatMap((upstream) =>
        upstream.executed.filter((seen) => seen.method === 'POST'),
      ).length;
    const headers = { 'idempotency-key': 'order-1' };
    const first = await Demo.call(addresses[0]!, key, 'POST', '/orders', headers);
    const again = await Demo.call(addresses[1]!, key, 'POST', '/orders', headers);
    Demo.check(first.status === 200, 'an order with an idempotency key is placed');
    Demo.check(
      again.status === 200 && again.body === first.body && executed() === 1,
      'sent again through another entry it gets the stored answer; it ran once',
    );
  }

  private async verifyWithdrawal(
    addresses: readonly string[],
    issued: { keyId: string; key: string },
  ): Promise<void> {
    await this.command('key', 'withdraw', issued.keyId);
    const start = performance.now();
    await waitUntil(
      'the withdrawn key is refused everywhere',
      async () => {
        const answers = await Promise.all(
          addresses.map((address) => Demo.call(address, issued.key, 'GET', '/orders/7')),
        );
        return answers.every(({ status }) => status === 401);
      },
      WITHDRAWAL_BOUND_MS,
    );
    const elapsed = Math.round(performance.now() - start);
    Demo.report(
      `marigoldbank key withdraw: refused by every entry, ${elapsed} ms after the answer`,
    );
  }

  private async verifyAudit(): Promise<void> {
    await this.command('audit', 'verify');
    Demo.report('marigoldbank audit verify: the audit trail matches its hashes');
    const { stdout } = await this.command('status');
    console.log(stdout);
  }
}
