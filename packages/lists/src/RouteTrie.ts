/** Routes by path segments: an exact segment before `:name` before a final `*`. */

/** A pattern segment that matches any one non-empty segment. */
const PARAMETER_PREFIX = ':';

/** A final pattern segment that matches one or more remaining segments. */
const REST = '*';

/** Segments of a normalised path: `/` is one empty segment, `/a/` is `a` and an empty one. */
export function splitPath(path: string): string[] {
  return path.slice(1).split('/');
}

/** The path with parameter names left out: two paths of one shape match the same requests. */
export function pathShape(path: string): string {
  return path
    .split('/')
    .map((segment) => (segment.startsWith(PARAMETER_PREFIX) ? PARAMETER_PREFIX : segment))
    .join('/');
}

interface Node<T> {
  readonly exact: Map<string, Node<T>>;
  parameter: Node<T> | undefined;
  /** Values by method of the pattern that ends here. */
  readonly values: Map<string, T>;
  /** Values by method of the pattern that continues with `*`. */
  readonly rest: Map<string, T>;
}

function createNode<T>(): Node<T> {
  return { exact: new Map(), parameter: undefined, values: new Map(), rest: new Map() };
}

export type TrieMatch<T> =
  | { readonly kind: 'matched'; readonly value: T }
  /** Methods of the patterns that match the path; empty when none does. */
  | { readonly kind: 'unmatched'; readonly methods: readonly string[] };

export class RouteTrie<T> {
  private readonly root = createNode<T>();

  /** Adds a pattern; the first value for a method and path shape stays. */
  public add(method: string, path: string, value: T): void {
    let node = this.root;
    const segments = splitPath(path);
    const isRest = segments.at(-1) === REST;
    const walked = isRest ? segments.slice(0, -1) : segments;
    walked.forEach((segment) => {
      node = RouteTrie.childOf(node, segment);
    });
    const values = isRest ? node.rest : node.values;
    if (!values.has(method)) values.set(method, value);
  }

  /**
   * The most specific pattern that matches both method and path. Decided segment by segment from the left, so the
   * cost depends on the length of the path, not on the number of routes.
   */
  public match(method: string, path: string): TrieMatch<T> {
    const methods = new Set<string>();
    const value = RouteTrie.find(this.root, splitPath(path), 0, method, methods);
    if (value !== undefined) return { kind: 'matched', value };
    return { kind: 'unmatched', methods: [...methods] };
  }

  private static childOf<T>(node: Node<T>, segment: string): Node<T> {
    if (segment.startsWith(PARAMETER_PREFIX)) {
      const parameter = node.parameter ?? createNode<T>();
      Object.assign(node, { parameter });
      return parameter;
    }
    const known = node.exact.get(segment);
    if (known !== undefined) return known;
    const created = createNode<T>();
    node.exact.set(segment, created);
    return created;
  }

  private static find<T>(
    node: Node<T>,
    segments: readonly string[],
    position: number,
    method: string,
    methods: Set<string>,
  ): T | undefined {
    const segment = segments[position];
    if (segment === undefined) return RouteTrie.pick(node.values, method, methods);
    const next = position + 1;
    const exact = node.exact.get(segment);
    const parameter = segment === '' ? undefined : node.parameter;
    return (
      (exact && RouteTrie.find(exact, segments, next, method, methods)) ??
      (parameter && RouteTrie.find(parameter, segments, next, method, methods)) ??
      RouteTrie.pick(node.rest, method, methods)
    );
  }

  private static pick<T>(
    values: ReadonlyMap<string, T>,
    method: string,
    methods: Set<string>,
  ): T | undefined {
    const value = values.get(method);
    if (value === undefined) values.forEach((_, known) => methods.add(known));
    return value;
  }
}
