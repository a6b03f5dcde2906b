import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {text as readText} from 'node:stream/consumers';
import {expect, test} from 'vitest';

/**
 * Writes about 2 MB of log lines, which is more than the pipe and the logger's buffer hold, and then
 * reports on standard error that it was not blocked.
 */
const program = `
const {createLogger, enableLogs} = await import(process.argv[1]);
enableLogs('filbertwell:*');
const log = createLogger('test');
for (let number = 0; number < 1000; number++) {
	for (let line = 0; line < 10; line++) {
		log({number, name: 'filler', level: 'info', meaning: ''}, {text: 'x'.repeat(200)});
	}
}
await new Promise(resolve => setImmediate(resolve));
process.stderr.write('went on', () => process.exit(0));
`;

test('a reader that stops reading does not block the process', async () => {
	const logger = fileURLToPath(new URL('../../lib/logger.js', import.meta.url));
	const child = spawn(process.execPath, ['--input-type=module', '-e', program, logger], {stdio: ['ignore', 'pipe', 'pipe']});
	const exited = once(child, 'exit');
	// The child's standard output is not read.
	expect(await readText(child.stderr)).toBe('went on');
	child.stdout.destroy();
	expect(await exited).toEqual([0, null]);
});
