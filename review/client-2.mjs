/** Stand-ins for clients and the operator: one request at a time, and what they send. */
import http from 'node:http';

const HOST_NAME = 'shop.example';

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** One request on a new connection. Status 0: no complete answer. */
export function send(address, method, target, { headers = {}, body, timeoutMs = 5_000 } = {}) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const req = http.request({ host, port, method, path: target, headers, agent: false });
    const timer = setTimeout(() => req.destroy(new Error('timeout')), timeoutMs);
    const finish = (status, text, resHeaders = {}) => {
      clearTimeout(timer);
      resolve({ status, body: text, headers: resHeaders });
    };
    req.on('response', (res) => {
      const chunks = [];
      res.on('data', (chunk) => chunks.push(chunk));
      res.on('end', () =>
        finish(res.complete ? res.statusCode : 0, Buffer.concat(chunks).toString(), res.headers),
      );
      res.on('error', (err) => finish(0, String(err)));
    });
    req.on('error', (err) => finish(0, String(err)));
    req.end(body);
  });
}

/** A configuration with one safe and one unsafe route. */
export function makeConfiguration(
  version,
  {
    timeout = '2500ms',
    tenants = [{ name: 'north', api_keys: ['key-north'], priority: 1, rate_per_s: 0, burst: 0 }],
    idle = '15000ms',
    extra = [],
  } = {},
) {
  const route = (name, prefix, kind) => ({
    name,
    path_prefix: prefix,
    kind,
    timeout,
    slo: '1500ms',
    priority: 1,
    service: 'orders',
    max_attempts: 2,
    anonymous: false,
  });
  return JSON.stringify({
    version: `r${version}`,
    services: [
      { name: 'orders', health_path: '/health', max_conns: 390, protocol: 'h1', tls: false },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout: '3000ms',
      idle_timeout: idle,
    },
    tenants,
    vhosts: [
      {
        host: HOST_NAME,
        paths: [route('r-view', '/view/', 'safe'), route('r-order', '/order/', 'unsafe'), ...extra],
      },
    ],
  });
}

/** Headers of a request of a client. */
export function clientHeaders(id, { deadlineMs = 5_000, key = 'key-north', ...others } = {}) {
  return {
    host: HOST_NAME,
    'marigoldbank-request-id': id,
    'marigoldbank-deadline-ms': String(deadlineMs),
    'marigoldbank-credential': key,
    ...others,
  };
}
