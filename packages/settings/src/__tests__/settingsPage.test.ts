import {readFileSync} from 'node:fs';
import {expect, test} from 'vitest';
import {documentedSettings} from '../documentedSettings.js';
import {formatSettingsPage} from '../formatSettingsPage.js';

test('docs/SETTINGS.md is up to date; if not, run npm run docs', () => {
	expect(readFileSync(new URL('../../../../docs/SETTINGS.md', import.meta.url), 'utf8')).toBe(formatSettingsPage(documentedSettings));
});

const allSettings = documentedSettings.flatMap(({program, schema}) => Object.entries(schema)
	.flatMap(([section, {keys}]) => Object.entries(keys).map(([key, setting]) => ({name: `${program} [${section}] ${key}`, setting}))));

test.each(allSettings.filter(({setting}) => setting.defaultText !== undefined))('the default of $name is valid', ({setting}) => {
	expect(setting.schema.safeParse(setting.defaultText).success).toBe(true);
});
