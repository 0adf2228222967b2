/** Parsers for option values. */
import {InvalidArgumentError} from 'commander';

/**
 * Parses a non-negative integer.
 *
 * @example
 * parseCount('0');
 */
export function parseCount(text: string): number {
  const value = Number(text);
  if (!/^\d+$/.test(text) || !Number.isSafeInteger(value)) {
    throw new InvalidArgumentError('It has to be a whole number.');
  }
  return value;
}

/**
 * Parses a positive integer.
 *
 * @example
 * parsePositive('60000');
 */
export function parsePositive(text: string): number {
  const value = parseCount(text);
  if (value === 0) {
    throw new InvalidArgumentError('It has to be above zero.');
  }
  return value;
}

/**
 * Parses a base URL; trailing slashes are removed.
 *
 * @example
 * parseUrl('http://10.0.1.1:8080/'); // 'http://10.0.1.1:8080'
 */
export function parseUrl(text: string): string {
  if (!URL.canParse(text) || !/^https?:$/.test(new URL(text).protocol)) {
    throw new InvalidArgumentError('It has to be an http or https URL.');
  }
  return text.replace(/\/+$/, '');
}

/**
 * Parses a comma-separated list of base URLs.
 *
 * @example
 * parseUrls('http://10.0.1.1:8080,http://10.0.1.2:8080');
 */
export function parseUrls(text: string): readonly string[] {
  return text.split(',').map((part) => parseUrl(part.trim()));
}
