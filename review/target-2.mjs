/** Stand-in for a target. */
import http from 'node:http';

/** A sound target. `handle(req, body, res)` runs a request; by default it answers at once. */
export class Target {
  constructor(
    fleet,
    { id = 'i-1', service = 'orders', zone = 'z1', workMs = 50, answer, bodyOf } = {},
  ) {
    Object.assign(this, {
      fleet,
      id,
      service,
      zone,
      workMs,
      answer,
      bodyOf,
      seq: 0,
      born: Date.now(),
    });
    fleet.targets.push(this);
    this.runs = [];
    this.connections = 0;
    this.server = http.createServer((req, res) => this.accept(req, res));
    this.server.keepAliveTimeout = 10_000;
    this.server.on('connection', () => {
      this.connections += 1;
    });
  }

  async start(port) {
    const host = this.fleet.targetHost;
    await new Promise((resolve) => {
      this.server.listen(port ?? 0, host, resolve);
    });
    this.addr = `${host}:${this.server.address().port}`;
    await this.beat();
    this.timer = setInterval(() => {
      this.beat().catch(() => undefined);
    }, 1_500);
  }

  async beat() {
    this.seq += 1;
    const body = JSON.stringify({
      addr: this.addr,
      born: this.born,
      info: { service: this.service, version: 'v1', zone: this.zone, slots: 6 },
      status: { state: 'ready', seq: this.seq, cold_left: '0ms' },
    });
    return this.sendBeat(this.fleet.controls, body);
  }

  /** Calls one control machine after the other until one acknowledges. */
  async sendBeat([machine, ...others], body) {
    if (machine === undefined) return false;
    const res = await this.fleet.rpc(machine, `instances.heartbeat&of=${this.id}`, body);
    return res.status === 200 || this.sendBeat(others, body);
  }

  accept(req, res) {
    const id = req.headers['marigoldbank-request-id'];
    const expected = req.headers['marigoldbank-expect-instance'];
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('error', () => undefined);
    req.on('end', () => {
      if (req.url === '/health') {
        res.writeHead(200, { 'marigoldbank-instance-id': this.id, 'content-length': 0 }).end();
        return;
      }
      if (expected !== undefined && expected !== this.id) {
        res
          .writeHead(421, {
            'marigoldbank-request-id': id,
            'marigoldbank-not-executed': '1',
            'content-length': 0,
          })
          .end();
        return;
      }
      const body = Buffer.concat(chunks);
      const run = {
        id,
        method: req.method,
        url: req.url,
        tenant: req.headers['marigoldbank-tenant'],
        bytes: body.length,
      };
      this.runs.push(run);
      this.fleet.record(`${this.id} runs ${id} ${req.method} ${req.url} ${body.length} bytes`);
      if (this.answer !== undefined) this.answer(req, body, res, this);
      else setTimeout(() => this.respond(req, res), this.workMs);
    });
  }

  respond(req, res) {
    const id = req.headers['marigoldbank-request-id'];
    const body = this.bodyOf?.(req) ?? Buffer.from(`ran ${id}`);
    res.writeHead(200, {
      'marigoldbank-request-id': id,
      'marigoldbank-response-seal': `seal-${id}`,
      'content-type': 'application/octet-stream',
      'content-length': body.length,
    });
    res.end(body);
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }
}
