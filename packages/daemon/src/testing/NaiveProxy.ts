/** Pass-through proxy built on the same libraries without any checks: the baseline of tests and of the request path benchmark. */
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent, request, type Dispatcher } from 'undici';

const MAX_ATTEMPTS = 2;

function without(headers: IncomingHttpHeaders, names: readonly string[]): IncomingHttpHeaders {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !names.includes(name)));
}

async function readAll(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  req.on('data', (chunk: Buffer) => chunks.push(chunk));
  await new Promise((resolve) => {
    req.once('end', resolve);
  });
  return Buffer.concat(chunks);
}

/** Distributes requests round-robin, and retries a failed request at the next upstream. */
export class NaiveProxy {
  private readonly server: Server;

  private readonly agent = new Agent({ pipelining: 1 });

  private next = 0;

  private isDraining = false;

  public constructor(private readonly upstreams: readonly string[]) {
    this.server = createServer((req, res) => {
      this.handle(req, res).catch(() => {
        if (!res.headersSent) res.statusCode = 502;
        res.end();
      });
    });
  }

  public get url(): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  public get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  public listen(): Promise<void> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => resolve());
    });
  }

  /** Stops as many programs do on SIGTERM: refuses new connections and closes the open ones at once. */
  public async close(): Promise<void> {
    this.isDraining = true;
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.server.closeAllConnections();
    await closed;
    await this.agent.destroy();
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readAll(req);
    const upstream = await this.send(req, body, 0);
    const headers = without(upstream.headers, ['transfer-encoding', 'content-length']);
    res.writeHead(upstream.statusCode, headers);
    upstream.body.on('data', (chunk: Buffer) => res.write(chunk));
    upstream.body.once('end', () => res.end());
    upstream.body.once('error', () => res.end());
  }

  private async send(
    req: IncomingMessage,
    body: Buffer,
    attempt: number,
  ): Promise<Dispatcher.ResponseData> {
    const address = this.upstreams[this.next % this.upstreams.length]!;
    this.next += 1;
    const headers = without(req.headers, ['connection', 'transfer-encoding', 'expect']);
    try {
      return await request(`http://${address}${req.url}`, {
        dispatcher: this.agent,
        method: req.method as Dispatcher.HttpMethod,
        headers: { ...headers, 'content-length': String(body.length) },
        body: body.length > 0 ? body : undefined,
      });
    } catch (err) {
      if (attempt + 1 >= MAX_ATTEMPTS || this.isDraining) throw err;
      return this.send(req, body, attempt + 1);
    }
  }
}
