/*
 * The operators' settings, line by line in the manner of classic daemons:
 *
 *     # a comment
 *     include "more.conf"
 *     store {
 *         directory /var/lib/pearusher
 *         interval 20ms
 *     }
 *
 * The grammar knows no key: SettingKey lists them.
 */
grammar Conf;

/* One token decides what follows, so that an error has its own position and not that of the block. */
file : line* EOF ;

line : NL | item end ;

end : NL | EOF ;

item : WORD ( block | value+ ) ;

block : '{' NL line* '}' ;

value : WORD | STRING ;

STRING : '"' ( ~["\\\r\n] | '\\' ["\\] )* '"' ;
WORD : ~[ \t\r\n{}"#] ~[ \t\r\n{}"]* ;
COMMENT : '#' ~[\r\n]* -> skip ;
BLANK : [ \t]+ -> skip ;
NL : '\r'? '\n' | '\r' ;
OPEN : '{' ;
CLOSE : '}' ;
/* All other characters are tokens too, so that the parser reports their position. */
OTHER : . ;
