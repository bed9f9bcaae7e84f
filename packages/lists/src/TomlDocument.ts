/** Parses TOML text and records the position of every key. */
import { type AST, ParseError, parseTOML } from 'toml-eslint-parser';
import { formatPath, type KeyPath, type Problem } from './problems.js';

/** Position in a file; both numbers start at 1. */
export interface FilePosition {
  readonly line: number;
  readonly column: number;
}

/** Name and content of a file. */
export interface SourceFile {
  /** Shown in messages. */
  readonly name: string;
  readonly text: string;
}

type Table = Record<string, unknown>;
type Container = Table | unknown[];

export type TomlReadResult =
  | { readonly kind: 'read'; readonly document: TomlDocument }
  | { readonly kind: 'invalid'; readonly problems: readonly Problem[] };

const FILE_START: FilePosition = { line: 1, column: 1 };

/** Assigning this key to an object would change its prototype. */
const RESERVED_KEY = '__proto__';

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

  private readonly problems: Problem[] = [];

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

  /** Parses TOML 1.0. The parser stops at the first syntax error, so at most one is reported. */
  public static read({ name, text }: SourceFile): TomlReadResult {
    try {
      const document = new TomlDocument(name, parseTOML(text, { tomlVersion: '1.0' }));
      if (document.problems.length > 0) return { kind: 'invalid', problems: document.problems };
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

  /** Position of the value at the path, or of its nearest ancestor that the file contains. */
  public positionOf(path: KeyPath): FilePosition {
    for (let { length } = path; length > 0; length -= 1) {
      const position = this.positions.get(positionKey(path.slice(0, length)));
      if (position !== undefined) return position;
    }
    return FILE_START;
  }

  private addTable(node: AST.TOMLTable): void {
    const position = positionOfNode(node);
    const table = this.getOrAddTable(node.resolvedKey, position);
    node.body.forEach((pair) => this.addPair(pair, table, node.resolvedKey));
  }

  /** Returns the table at the path and creates missing tables and arrays on the way. */
  private getOrAddTable(
    path: KeyPath,
    position: FilePosition,
    from: Container = this.value,
  ): Table {
    let container: Container = from;
    path.forEach((part, i) => {
      this.recordPosition(path.slice(0, i + 1), position);
      const next = typeof path[i + 1] === 'number' ? [] : {};
      container = this.getOrAddContainer(container, part, next, position);
    });
    return container as Table;
  }

  private getOrAddContainer(
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
      this.recordPosition([...tablePath, ...parents.slice(0, i + 1)], position);
      container = this.getOrAddContainer(container, key, {}, position);
    });
    const last = keys.at(-1) ?? '';
    const path = [...parentPath, last];
    this.recordPosition(path, position);
    this.assign(container, last, this.convert(pair.value, path), position);
  }

  private convert(node: AST.TOMLContentNode, path: KeyPath): unknown {
    if (node.type === 'TOMLArray') {
      return node.elements.map((element, i) => {
        const elementPath = [...path, i];
        this.recordPosition(elementPath, positionOfNode(element));
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
    if (part === RESERVED_KEY) {
      this.problems.push({
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

  private recordPosition(path: KeyPath, position: FilePosition): void {
    const key = positionKey(path);
    if (!this.positions.has(key)) this.positions.set(key, position);
  }
}
