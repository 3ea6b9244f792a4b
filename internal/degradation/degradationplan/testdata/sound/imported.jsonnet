(import 'plain.jsonnet') { hold: '20 s', spread: '10 %' }
