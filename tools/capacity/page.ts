/** Inserts tables between the markers of a page. */

/** A table and the name in its marker. */
export interface NamedTable {
  readonly name: string;
  readonly text: string;
}

/**
 * Replaces the text between `<!-- table:NAME -->` and the next `<!-- end -->`
 * with the table of that name; throws if the page has no such markers.
 *
 * @example
 * fillPage({page, tables: [{name: 'entry', text: renderEntry(slopes)}]});
 */
export function fillPage(options: {
  page: string;
  tables: readonly NamedTable[];
}): string {
  return options.tables.reduce(fillTable, options.page);
}

function fillTable(page: string, {name, text}: NamedTable): string {
  const open = `<!-- table:${name} -->`;
  const close = '<!-- end -->';
  const from = page.indexOf(open);
  const to = page.indexOf(close, from);
  if (from < 0 || to < 0) throw new Error(`the page has no table "${name}"`);
  return `${page.slice(0, from)}${open}\n\n${text}\n\n${page.slice(to)}`;
}
