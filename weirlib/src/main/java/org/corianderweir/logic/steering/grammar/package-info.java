/**
 * The text form of selectors: lexer, parser and formatter. docs/SELECTORS.md defines the grammar.
 */
@NullMarked
package org.corianderweir.logic.steering.grammar;

import org.jspecify.annotations.NullMarked;
