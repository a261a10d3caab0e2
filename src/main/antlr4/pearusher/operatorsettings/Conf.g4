/*
 * Grammar of the operators' settings file, a line-based format with nested blocks:
 *
 *     # a comment
 *     include "more.conf"
 *     store {
 *         directory /var/lib/pearusher
 *         interval 20ms
 *     }
 *
 * The grammar is independent of the keys, which SettingKey lists.
 */
grammar Conf;

/*
 * The grammar is LL(1): one token of lookahead selects each alternative. A syntax error is therefore
 * reported at the position of the unexpected token, not at the start of the enclosing block.
 */
file : line* EOF ;

line : NEWLINE | statement lineEnd ;

lineEnd : NEWLINE | EOF ;

statement : WORD ( block | value+ ) ;

block : '{' NEWLINE line* '}' ;

value : WORD | STRING ;

STRING : '"' ( ~["\\\r\n] | '\\' ["\\] )* '"' ;
WORD : ~[ \t\r\n{}"#] ~[ \t\r\n{}"]* ;
COMMENT : '#' ~[\r\n]* -> skip ;
WHITESPACE : [ \t]+ -> skip ;
NEWLINE : '\r'? '\n' | '\r' ;
LEFT_BRACE : '{' ;
RIGHT_BRACE : '}' ;
/* Matches any other character, so that the parser reports its position. */
UNEXPECTED : . ;
