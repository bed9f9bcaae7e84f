/** Trie of route patterns. At each segment an exact match goes before `:name`, and that before a final `*`. */

/** A pattern segment that matches any one non-empty segment. */
const PARAMETER_PREFIX = ':';

/** A final pattern segment that matches one or more remaining segments. */
const WILDCARD = '*';

/** Segments of a normalised path: `/` is one empty segment, `/a/` is `a` and an empty one. */
export function splitPath(path: string): string[] {
  return path.slice(1).split('/');
}

/** The pattern without its parameter names: patterns of the same shape match the same requests. */
export function pathShape(path: string): string {
  return path
    .split('/')
    .map((segment) => (segment.startsWith(PARAMETER_PREFIX) ? PARAMETER_PREFIX : segment))
    .join('/');
}

interface Node<T> {
  readonly exact: Map<string, Node<T>>;
  parameter: Node<T> | undefined;
  /** Values of the pattern that ends here, by method. */
  readonly values: Map<string, T>;
  /** Values of the pattern that continues with `*`, by method. */
  readonly wildcardValues: Map<string, T>;
}

function createNode<T>(): Node<T> {
  return { exact: new Map(), parameter: undefined, values: new Map(), wildcardValues: new Map() };
}

export type TrieMatch<T> =
  | { readonly kind: 'matched'; readonly value: T }
  /** Methods of the patterns that match the path; empty when none does. */
  | { readonly kind: 'unmatched'; readonly methods: readonly string[] };

export class RouteTrie<T> {
  private readonly root = createNode<T>();

  /** Adds a pattern. A method and path shape that was added before keeps its value. */
  public add(method: string, path: string, value: T): void {
    let node = this.root;
    const segments = splitPath(path);
    const hasWildcard = segments.at(-1) === WILDCARD;
    const fixedSegments = hasWildcard ? segments.slice(0, -1) : segments;
    fixedSegments.forEach((segment) => {
      node = RouteTrie.childOf(node, segment);
    });
    const values = hasWildcard ? node.wildcardValues : node.values;
    if (!values.has(method)) values.set(method, value);
  }

  /**
   * Finds the most specific pattern that matches both method and path. It compares segment by segment from the left,
   * so the cost depends on the length of the path, not on the number of routes.
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
    if (segment === undefined) return RouteTrie.valueForMethod(node.values, method, methods);
    const next = position + 1;
    const exact = node.exact.get(segment);
    const parameter = segment === '' ? undefined : node.parameter;
    return (
      (exact && RouteTrie.find(exact, segments, next, method, methods)) ??
      (parameter && RouteTrie.find(parameter, segments, next, method, methods)) ??
      RouteTrie.valueForMethod(node.wildcardValues, method, methods)
    );
  }

  private static valueForMethod<T>(
    values: ReadonlyMap<string, T>,
    method: string,
    methods: Set<string>,
  ): T | undefined {
    const value = values.get(method);
    if (value === undefined) values.forEach((_, otherMethod) => methods.add(otherMethod));
    return value;
  }
}
