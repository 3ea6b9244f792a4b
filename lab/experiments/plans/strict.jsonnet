// What a level refuses is never served, and what it reduces never whole.
(import 'reduce.jsonnet') { name: 'strict', spare: false }
