/** TOML text as data that keeps the position of every key. */
import { type AST, ParseError, parseTOML } from 'toml-eslint-parser';
import { formatPath, type KeyPath, type Problem } from './problems.js';

/** One-based place in a file. */
export interface FilePosition {
  readonly line: number;
  readonly column: number;
}

/** A file as read by the caller. */
export interface SourceFile {
  /** Name for messages. */
  readonly name: string;
  readonly text: string;
}

type Table = Record<string, unknown>;
type Container = Table | unknown[];

export type TomlReadResult =
  | { readonly kind: 'read'; readonly document: TomlDocument }
  | { readonly kind: 'invalid'; readonly problems: readonly Problem[] };

const START: FilePosition = { line: 1, column: 1 };

/** Assigning this key to an object would change its prototype. */
const FORBIDDEN_KEY = '__proto__';

const positionOfNode = (node: AST.HasLocs): FilePosition => ({
  line: node.loc.start.line,
  column: node.loc.start.column + 1,
});

const nameOfKey = (key: AST.TOMLBare | AST.TOMLQuoted): string =>
  key.type === 'TOMLBare' ? key.name : key.value;

const positionKey = (path: KeyPath): string => JSON.stringify(path);

/** A parsed TOML file. */
export class TomlDocument {
  public readonly value: Table = {};

  private readonly positions = new Map<string, FilePosition>();

  private readonly found: Problem[] = [];

  private constructor(
    public readonly file: string,
    program: AST.TOMLProgram,
  ) {
    const [topLevel] = program.body;
    topLevel.body.forEach((node) => {
      if (node.type === 'TOMLTable') this.addTable(node);
      else this.addPair(node, this.value, []);
    });
  }

  /** Reads TOML 1.0. The parser stops at the first syntax error, so there is at most one of those. */
  public static read({ name, text }: SourceFile): TomlReadResult {
    try {
      const document = new TomlDocument(name, parseTOML(text, { tomlVersion: '1.0' }));
      if (document.found.length > 0) return { kind: 'invalid', problems: document.found };
      return { kind: 'read', document };
    } catch (err) {
      if (!(err instanceof ParseError)) throw err;
      const problem: Problem = {
        severity: 'error',
        file: name,
        line: err.lineNumber,
        column: err.column + 1,
        path: '',
        expected: 'TOML',
        found: `a syntax error: ${err.message}`,
        // The parser reports what is missing at the end of a line at the start of the next one.
        hint: err.column === 0 ? 'here or at the end of the line before' : undefined,
      };
      return { kind: 'invalid', problems: [problem] };
    }
  }

  /** Position of the value at the path, or of the nearest table above that the file contains. */
  public positionOf(path: KeyPath): FilePosition {
    for (let { length } = path; length > 0; length -= 1) {
      const position = this.positions.get(positionKey(path.slice(0, length)));
      if (position !== undefined) return position;
    }
    return START;
  }

  private addTable(node: AST.TOMLTable): void {
    const position = positionOfNode(node);
    const table = this.openTable(node.resolvedKey, position);
    node.body.forEach((pair) => this.addPair(pair, table, node.resolvedKey));
  }

  /** The container at the path; creates missing tables and arrays. */
  private openTable(path: KeyPath, position: FilePosition, from: Container = this.value): Table {
    let container: Container = from;
    path.forEach((part, i) => {
      this.note(path.slice(0, i + 1), position);
      const next = typeof path[i + 1] === 'number' ? [] : {};
      container = this.child(container, part, next, position);
    });
    return container as Table;
  }

  private child(
    container: Container,
    part: string | number,
    fallback: Container,
    position: FilePosition,
  ): Container {
    const known: unknown = Object.hasOwn(container, part)
      ? (container as Record<string | number, unknown>)[part]
      : undefined;
    if (known !== undefined) return known as Container;
    this.assign(container, part, fallback, position);
    return fallback;
  }

  private addPair(pair: AST.TOMLKeyValue, table: Table, tablePath: KeyPath): void {
    const position = positionOfNode(pair);
    const keys = pair.key.keys.map(nameOfKey);
    const parents = keys.slice(0, -1);
    const parentPath = [...tablePath, ...parents];
    let container: Container = table;
    parents.forEach((key, i) => {
      this.note([...tablePath, ...parents.slice(0, i + 1)], position);
      container = this.child(container, key, {}, position);
    });
    const last = keys.at(-1) ?? '';
    const path = [...parentPath, last];
    this.note(path, position);
    this.assign(container, last, this.convert(pair.value, path), position);
  }

  private convert(node: AST.TOMLContentNode, path: KeyPath): unknown {
    if (node.type === 'TOMLArray') {
      return node.elements.map((element, i) => {
        const elementPath = [...path, i];
        this.note(elementPath, positionOfNode(element));
        return this.convert(element, elementPath);
      });
    }
    if (node.type === 'TOMLInlineTable') {
      const table: Table = {};
      node.body.forEach((pair) => this.addPair(pair, table, path));
      return table;
    }
    return node.value;
  }

  private assign(
    container: Container,
    part: string | number,
    value: unknown,
    position: FilePosition,
  ): void {
    if (part === FORBIDDEN_KEY) {
      this.found.push({
        severity: 'error',
        file: this.file,
        ...position,
        path: formatPath([part]),
        expected: 'another key',
        found: 'a reserved name',
      });
      return;
    }
    Object.assign(container, { [part]: value });
  }

  private note(path: KeyPath, position: FilePosition): void {
    const key = positionKey(path);
    if (!this.positions.has(key)) this.positions.set(key, position);
  }
}
