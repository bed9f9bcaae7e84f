/** Streams of messages in tests. */

/** Passes all messages of a stream to `fn`. */
export async function readAll<T>(
  messages: AsyncIterable<T>,
  fn: (message: T) => void,
): Promise<void> {
  const iterator = messages[Symbol.asyncIterator]();
  let next = await iterator.next();
  while (next.done !== true) {
    fn(next.value);
    next = await iterator.next();
  }
}

/** Rejects when the signal is aborted. */
export function aborted(signal: AbortSignal | undefined): Promise<never> {
  return new Promise((_, reject) => {
    signal?.addEventListener('abort', () => reject(new Error('aborted')), { once: true });
  });
}
