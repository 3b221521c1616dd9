/**
 * Renders the result of a search for events (an account) as a self-contained
 * HTML page that an operator can publish.
 * @module
 */
import { type AccountSearchResult, countByInterval } from "./report.ts";

const INTERVALS = 60;
const CHART_WIDTH = 900;
const CHART_HEIGHT = 160;
const COLORS: Record<string, string> = {
  refused: "#c77f00",
  unknown: "#b00020",
  retry: "#5b7fb5",
  hedge: "#8aa6cf",
  crash: "#6b0f1a",
  fence: "#4a7c59",
};
const OTHER_COLOR = "#9a9a9a";

function escapeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}

function renderChart(account: AccountSearchResult): string {
  const intervals = countByInterval(account.events, INTERVALS);
  const totals = intervals.map((interval) =>
    Object.values(interval.counts).reduce((sum, count) => sum + count, 0)
  );
  const maxTotal = Math.max(1, ...totals);
  const width = CHART_WIDTH / INTERVALS;
  const bars = intervals.flatMap((interval, index) => {
    let top = CHART_HEIGHT;
    return Object.entries(interval.counts).map(([kind, count]) => {
      const height = count / maxTotal * CHART_HEIGHT;
      top -= height;
      const title = `${
        new Date(interval.start).toISOString()
      } ${kind} ${count}`;
      return `<rect x="${index * width}" y="${top}" width="${width - 1}" ` +
        `height="${height}" fill="${COLORS[kind] ?? OTHER_COLOR}">` +
        `<title>${escapeHtml(title)}</title></rect>`;
    });
  });
  return `<svg viewBox="0 0 ${CHART_WIDTH} ${CHART_HEIGHT}" role="img" ` +
    `aria-label="Events over time">${bars.join("")}</svg>`;
}

function renderTable(head: string[], rows: string[][]): string {
  const cells = (tag: string, row: string[]): string =>
    row.map((cell) => `<${tag}>${escapeHtml(cell)}</${tag}>`).join("");
  return `<table><tr>${cells("th", head)}</tr>` +
    rows.map((row) => `<tr>${cells("td", row)}</tr>`).join("") + "</table>";
}

/** Renders the page of an account. */
export function renderAccountPage(account: AccountSearchResult): string {
  const { events, changes, dropped, missing } = account;
  const completeness = dropped > 0 || missing.length > 0
    ? `${dropped} events were dropped and ${missing.length} replicas did ` +
      "not answer, so this account has gaps."
    : "No event was dropped, and every replica answered.";
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Account</title>
<style>
body { font: 16px/1.5 sans-serif; max-width: 70rem; margin: 2rem auto; padding: 0 1rem; }
table { border-collapse: collapse; width: 100%; font-size: 14px; }
td, th { border-bottom: 1px solid #ddd; padding: .25rem .5rem; text-align: left; vertical-align: top; }
</style></head><body>
<h1>Account</h1>
<p>${escapeHtml(completeness)}</p>
<h2>Events over time</h2>
${renderChart(account)}
<h2>Changes by operators</h2>
${
    renderTable(
      ["Time", "Version", "Operator", "Change"],
      changes.map((change) => [
        new Date(change.wallTime).toISOString(),
        String(change.version),
        change.operator,
        `${change.action} ${change.target}`,
      ]),
    )
  }
<h2>Events</h2>
${
    renderTable(
      [
        "Time",
        "VM",
        "Version",
        "Kind",
        "Request",
        "Workspace",
        "Server",
        "Outcome",
        "Cause",
      ],
      events.map((event) => [
        new Date(event.wallTime).toISOString(),
        event.source,
        String(event.version),
        event.kind,
        event.requestId,
        event.workspace,
        event.server,
        event.outcome,
        event.cause,
      ]),
    )
  }
</body></html>
`;
}
