#!/usr/bin/env node
// Committed, since `npm ci` links only programs that exist before the build.
await import('../lib/main.js');
