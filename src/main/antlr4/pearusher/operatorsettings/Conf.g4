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
 * What a word means is not the grammar's business: Key lists what may stand where.
 */
grammar Conf;

/* One token tells what comes next, so a fault is told where it is and not at the block around it. */
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
/* Whatever else comes is a token too, so that the parser says where. */
OTHER : . ;
