/**
 * Fills in `deploy/process.toml` as the platform does: placeholders, and
 * sections that repeat for each entry of a list or table.
 * @module
 */

/** Splits a template into texts, placeholders and sections. */
function parse(text) {
  const root = { children: [] };
  const stack = [root];
  let end = 0;
  for (const match of text.matchAll(/\{\{\s*([#^/]?)([^}]*?)\s*\}\}/g)) {
    const parent = stack.at(-1);
    parent.children.push({ text: text.slice(end, match.index) });
    end = match.index + match[0].length;
    const [, mark, name] = match;
    if (mark === "/") {
      stack.pop();
    } else if (mark === "") {
      parent.children.push({ name });
    } else {
      const section = { section: name, inverted: mark === "^", children: [] };
      parent.children.push(section);
      stack.push(section);
    }
  }
  root.children.push({ text: text.slice(end) });
  return root;
}

function isFilled(value) {
  return value !== undefined && value !== null && value !== false;
}

/** Looks a name up in the entries of the sections around it, innermost first. */
function lookUp(name, scopes) {
  const scope = scopes.at(-1);
  if (name === ".") {
    return scope.entry;
  }
  if (name === "@") {
    return scope.key;
  }
  for (const { entry } of [...scopes].reverse()) {
    if (entry && typeof entry === "object" && name in entry) {
      return entry[name];
    }
  }
  return undefined;
}

function format(value, asJson) {
  if (!isFilled(value) && !asJson) {
    return "";
  }
  if (asJson) {
    return JSON.stringify(value ?? null);
  }
  return Array.isArray(value) ? value.join(",") : String(value);
}

function renderPlaceholder(name, scopes) {
  if (name === ",") {
    return scopes.at(-1).last ? "" : ",";
  }
  const [path, filter] = name.split("|");
  return format(lookUp(path, scopes), filter === "json");
}

function entriesOf(value) {
  if (Array.isArray(value)) {
    return value.map((entry, index) => ({ entry, key: index }));
  }
  return typeof value === "object"
    ? Object.entries(value).map(([key, entry]) => ({ entry, key }))
    : [{ entry: value, key: 0 }];
}

function renderSection(node, scopes) {
  const value = lookUp(node.section, scopes);
  if (node.inverted) {
    return isFilled(value) ? "" : render(node, scopes);
  }
  if (!isFilled(value)) {
    return "";
  }
  const entries = entriesOf(value);
  return entries.map((one, index) =>
    render(node, [...scopes, { ...one, last: index === entries.length - 1 }])
  ).join("");
}

function render(node, scopes) {
  return node.children.map((child) => {
    if (child.text !== undefined) {
      return child.text;
    }
    return child.section === undefined
      ? renderPlaceholder(child.name, scopes)
      : renderSection(child, scopes);
  }).join("");
}

/** Returns the text of a template with its fields filled in. */
export function renderTemplate(text, fields) {
  return render(parse(text), [{ entry: fields, key: "", last: true }]);
}
