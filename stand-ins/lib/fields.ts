/** Reads fields of the JSON bodies of requests to a stand-in. */
import {HttpError} from './http-server.js';

function fieldOf(body: unknown, name: string): unknown {
  if (typeof body !== 'object' || body === null) return undefined;
  return Reflect.get(body, name);
}

/**
 * Returns a string field, or `fallback` if it is absent. Throws 400 if it has
 * another type.
 *
 * @example
 * textField(body, 'kind', 'none');
 */
export function textField(
  body: unknown,
  name: string,
  fallback: string,
): string {
  const value = fieldOf(body, name) ?? fallback;
  if (typeof value === 'string') return value;
  throw new HttpError(400, `${name} must be a string`);
}

/**
 * Returns a number field, or `fallback` if it is absent. Throws 400 if it has
 * another type.
 *
 * @example
 * numberField(body, 'max_tokens', 16);
 */
export function numberField(
  body: unknown,
  name: string,
  fallback: number,
): number {
  const value = fieldOf(body, name) ?? fallback;
  if (typeof value === 'number') return value;
  throw new HttpError(400, `${name} must be a number`);
}

/**
 * Returns a list field, empty if it is absent. Throws 400 if it is no list or
 * an item is not accepted.
 *
 * @example
 * listField(body, 'stop', isString);
 */
export function listField<T>(
  body: unknown,
  name: string,
  accepts: (item: unknown) => item is T,
): T[] {
  const value = fieldOf(body, name) ?? [];
  if (Array.isArray(value) && value.every(accepts)) return value;
  throw new HttpError(400, `${name} must be a list`);
}

/**
 * Returns a field that holds a value of an enum. Throws 400 for any other value.
 *
 * @example
 * enumField(body, 'kind', FaultKind);
 */
export function enumField<T extends string>(
  body: unknown,
  name: string,
  values: Readonly<Record<string, T>>,
): T {
  const value = fieldOf(body, name);
  const found = Object.values(values).find((known) => known === value);
  if (found !== undefined) return found;
  throw new HttpError(400, `unknown ${name}`);
}

/** Returns whether a list item is a string. */
export function isString(item: unknown): item is string {
  return typeof item === 'string';
}

/** Returns whether a list item is an integer. */
export function isInteger(item: unknown): item is number {
  return Number.isInteger(item);
}
