/** What all layers share: the error type of the project. */
@NullMarked
package org.corianderweir.model;

import org.jspecify.annotations.NullMarked;
