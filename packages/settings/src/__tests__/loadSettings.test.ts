import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {entrySettingsSchema, loadEntrySettings} from '../entrySettings.js';
import {loadSettings, parseSettings} from '../loadSettings.js';
import {operatorSettingsSchema} from '../operatorSettings.js';
import {formatSettingsError} from '../settingsError.js';
import {withSite} from '../withSite.js';

const file = 'entry.ini';
const minimalLines = [
	'[process]',
	'id = entry-1',
	'region = south',
	'availabilityZone = south-a',
	'[callers]',
	'host = 10.0.1.5',
	'[peers]',
	'host = 10.0.1.5',
	'[platform]',
	'host = 10.0.9.1',
	'port = 7000',
];
const parseLines = (lines: readonly string[]) => parseSettings(lines.join('\n'), file, entrySettingsSchema);

describe('a minimal file', () => {
	const settings = withSite(parseLines(minimalLines)._unsafeUnwrap());

	test('is parsed to typed values', () => {
		expect(settings.platform.port).toBe(7000);
		expect(settings.callers.host).toBe('10.0.1.5');
	});

	test('is completed with default values', () => {
		expect(settings.callers.port).toBe(8080);
		expect(settings.peers.seeds).toEqual([]);
		expect(settings.process.site).toBe('south-a');
	});
});

test('lists of addresses may contain IPv4 and bracketed IPv6 addresses', () => {
	const settings = parseLines([...minimalLines, '[peers]', 'seeds = 10.0.1.6:8082, [fd00::6]:8082'])._unsafeUnwrap();
	expect(settings.peers.seeds).toEqual([{host: '10.0.1.6', port: 8082}, {host: 'fd00::6', port: 8082}]);
});

test.each([
	{name: 'unknown section', lines: ['[calers]', 'host = 10.0.1.5'], expected: /entry\.ini: \[calers\]: unknown section; .*"callers"/v},
	{name: 'unknown key', lines: ['[callers]', 'prot = 80'], expected: /\[callers\] prot = "80": unknown key; .*"port"/v},
	{
		name: 'key outside all sections', lines: [], before: ['port = 80'], expected: /port = "80": key outside all sections/v,
	},
	{name: 'nested section', lines: ['[callers.more]', 'port = 80'], expected: /\[callers\] more: unknown key/v},
	{name: 'section with the name of a key', lines: ['[callers.host]'], expected: /\[callers\] host = "\{\}".*IPv4 or IPv6 address/v},
	{name: 'repeated key', lines: ['[callers]', 'port = 80', 'port = 81'], expected: /\[callers\] port = "80, 81": the key is given 2 times; keep one/v},
	{name: 'port out of range', lines: ['[callers]', 'port = 70000'], expected: /\[callers\] port = "70000": .*; use an integer from 0 to 65535/v},
	{name: 'text for a number', lines: ['[callers]', 'port = http'], expected: /port = "http".*use an integer/v},
	{name: 'negative time', lines: ['[stop]', 'graceMs = -1'], expected: /\[stop\] graceMs = "-1".*use an integer/v},
	{name: 'fraction', lines: ['[stop]', 'graceMs = 1.5'], expected: /graceMs = "1\.5"/v},
	{name: 'empty value', lines: ['[callers]', 'port ='], expected: /\[callers\] port: the value is empty/v},
	{name: 'word that the INI library converts to a boolean', lines: ['[callers]', 'port = true'], expected: /port = "true"/v},
	{name: 'host name instead of an IP address', lines: ['[admin]', 'host = localhost'], expected: /\[admin\] host = "localhost".*IPv4 or IPv6 address/v},
	{name: 'seed without port', lines: ['[peers]', 'seeds = 10.0.1.6'], expected: /\[peers\] seeds = "10\.0\.1\.6".*host:port/v},
])('$name is reported with location, value and fix', ({lines, before = [], expected}) => {
	const errors = parseLines([...before, ...minimalLines, ...lines])._unsafeUnwrapErr();
	expect(errors.map(error => formatSettingsError(error)).join('\n')).toMatch(expected);
	expect(errors).toHaveLength(1);
});

test('all errors of a file are reported at once', () => {
	const kinds = parseLines(['[process]', 'id = a b', '[nothing]'])._unsafeUnwrapErr().map(({kind}) => kind);
	expect(kinds.toSorted()).toEqual(['invalid', 'missing', 'missing', 'missing', 'missing', 'missing', 'missing', 'unknownSection']);
});

test('a missing file is reported as an error without an exception', () => {
	const errors = loadEntrySettings('no/such/file.ini')._unsafeUnwrapErr();
	expect(errors.map(error => formatSettingsError(error))).toEqual(['no/such/file.ini: the file can\'t be read (ENOENT); check the path and its permissions']);
});

test('a directory instead of a file is reported as an error without an exception', () => {
	expect(loadSettings('.', operatorSettingsSchema)._unsafeUnwrapErr()[0]?.kind).toBe('unreadable');
});

const iniLine = fc.oneof(
	fc.constantFrom(...minimalLines, '[__proto__]', '[constructor]', '"5" = 1', '[[', 'a[] = 1', 'callers = 1', '[callers.host]', '__proto__ = 1', 'toString = 2'),
	fc.string(),
	fc.string({unit: 'binary'}),
);

test('any text is parsed to values or errors without an exception', () => {
	fc.assert(fc.property(fc.array(iniLine, {maxLength: 30}), lines => {
		const outcome = parseLines(lines);
		expect(outcome.isOk() || outcome.error.length > 0).toBe(true);
	}), {seed: 40, numRuns: 1000});
});
