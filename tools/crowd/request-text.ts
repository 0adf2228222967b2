/** What clients of a crowd write to a port that speaks HTTP. */

/** A request as text; without `headers` it has only those given here. */
export interface RequestText {
  readonly method?: string;
  readonly path: string;
  readonly version?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/**
 * Writes a request as HTTP/1.1.
 *
 * @example
 * formatRequest({path: '/-/readyz', headers: {Host: 'a'}});
 */
export function formatRequest(request: RequestText): string {
  const {method = 'GET', path, version = '1.1', headers = {}} = request;
  const {body = ''} = request;
  const length = body === '' ? {} : {'Content-Length': String(body.length)};
  const lines = Object.entries({...headers, ...length});
  const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  return `${method} ${path} HTTP/${version}\r\n${head}\r\n${body}`;
}
